//! Messages, headers and codecs between the processes of verbenaspool.
