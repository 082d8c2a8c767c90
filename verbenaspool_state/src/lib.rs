//! Domain types of verbenaspool: the file, services, customers, places, expert maps, versions.
