# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_verbenaspool_global_optspecs
    string join \n h/help V/version
end

function __fish_verbenaspool_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_verbenaspool_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_verbenaspool_using_subcommand
    set -l cmd (__fish_verbenaspool_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c verbenaspool -n "__fish_verbenaspool_needs_command" -s h -l help -d 'Print help'
complete -c verbenaspool -n "__fish_verbenaspool_needs_command" -s V -l version -d 'Print version'
complete -c verbenaspool -n "__fish_verbenaspool_needs_command" -f -a "run" -d 'Run the entry process'
complete -c verbenaspool -n "__fish_verbenaspool_needs_command" -f -a "check" -d 'Check a firm\'s file, or an entry\'s settings or a configuration of the direct path, and list all problems'
complete -c verbenaspool -n "__fish_verbenaspool_needs_command" -f -a "apply" -d 'Apply a firm\'s file atomically'
complete -c verbenaspool -n "__fish_verbenaspool_needs_command" -f -a "explain" -d 'Show the outcome of a request from the logs of entries'
complete -c verbenaspool -n "__fish_verbenaspool_needs_command" -f -a "entries" -d 'Show the active configuration and the state of entries on the direct path'
complete -c verbenaspool -n "__fish_verbenaspool_needs_command" -f -a "status" -d 'Show the accepted version and where it is active'
complete -c verbenaspool -n "__fish_verbenaspool_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand run" -s s -l settings -d 'The settings file' -r -F
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand run" -s h -l help -d 'Print help'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand check" -l json -d 'Print the result as JSON'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand check" -s h -l help -d 'Print help'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand apply" -s s -l settings -d 'The operator\'s settings file' -r -F
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand apply" -l expect -d 'Apply only if this is the currently accepted version; 0 if there is none' -r
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand apply" -l id -d 'The id of the apply, to repeat an apply whose outcome is unknown' -r
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand apply" -l timeout-ms -d 'How long to retry, in milliseconds' -r
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand apply" -l json -d 'Print the result as JSON'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand apply" -s h -l help -d 'Print help'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand explain" -s h -l help -d 'Print help'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand entries" -l json -d 'Print the report as JSON'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand entries" -s h -l help -d 'Print help'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand status" -s s -l settings -d 'The operator\'s settings file' -r -F
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand status" -l json -d 'Print the report as JSON'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand status" -s h -l help -d 'Print help'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand help; and not __fish_seen_subcommand_from run check apply explain entries status help" -f -a "run" -d 'Run the entry process'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand help; and not __fish_seen_subcommand_from run check apply explain entries status help" -f -a "check" -d 'Check a firm\'s file, or an entry\'s settings or a configuration of the direct path, and list all problems'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand help; and not __fish_seen_subcommand_from run check apply explain entries status help" -f -a "apply" -d 'Apply a firm\'s file atomically'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand help; and not __fish_seen_subcommand_from run check apply explain entries status help" -f -a "explain" -d 'Show the outcome of a request from the logs of entries'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand help; and not __fish_seen_subcommand_from run check apply explain entries status help" -f -a "entries" -d 'Show the active configuration and the state of entries on the direct path'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand help; and not __fish_seen_subcommand_from run check apply explain entries status help" -f -a "status" -d 'Show the accepted version and where it is active'
complete -c verbenaspool -n "__fish_verbenaspool_using_subcommand help; and not __fish_seen_subcommand_from run check apply explain entries status help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
