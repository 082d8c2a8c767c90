# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_verbenaspool_agent_global_optspecs
    string join \n h/help V/version
end

function __fish_verbenaspool_agent_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_verbenaspool_agent_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_verbenaspool_agent_using_subcommand
    set -l cmd (__fish_verbenaspool_agent_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_needs_command" -s h -l help -d 'Print help'
complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_needs_command" -s V -l version -d 'Print version'
complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_needs_command" -f -a "run" -d 'Run the agent until SIGTERM, then drain'
complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_needs_command" -f -a "check" -d 'Check a settings file'
complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_using_subcommand run" -l settings -d 'Path of the settings file (YAML)' -r -F
complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_using_subcommand run" -s h -l help -d 'Print help'
complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_using_subcommand check" -l settings -d 'Path of the settings file (YAML)' -r -F
complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_using_subcommand check" -s h -l help -d 'Print help'
complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_using_subcommand help; and not __fish_seen_subcommand_from run check help" -f -a "run" -d 'Run the agent until SIGTERM, then drain'
complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_using_subcommand help; and not __fish_seen_subcommand_from run check help" -f -a "check" -d 'Check a settings file'
complete -c verbenaspool-agent -n "__fish_verbenaspool_agent_using_subcommand help; and not __fish_seen_subcommand_from run check help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
