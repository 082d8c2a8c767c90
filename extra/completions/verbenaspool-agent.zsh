#compdef verbenaspool-agent

autoload -U is-at-least

_verbenaspool-agent() {
    typeset -A opt_args
    typeset -a _arguments_options
    local ret=1

    if is-at-least 5.2; then
        _arguments_options=(-s -S -C)
    else
        _arguments_options=(-s -C)
    fi

    local context curcontext="$curcontext" state line
    _arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
'-V[Print version]' \
'--version[Print version]' \
":: :_verbenaspool-agent_commands" \
"*::: :->verbenaspool-agent" \
&& ret=0
    case $state in
    (verbenaspool-agent)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:verbenaspool-agent-command-$line[1]:"
        case $line[1] in
            (run)
_arguments "${_arguments_options[@]}" : \
'--settings=[Path of the settings file (YAML)]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(check)
_arguments "${_arguments_options[@]}" : \
'--settings=[Path of the settings file (YAML)]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_verbenaspool-agent__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:verbenaspool-agent-help-command-$line[1]:"
        case $line[1] in
            (run)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(check)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
        esac
    ;;
esac
}

(( $+functions[_verbenaspool-agent_commands] )) ||
_verbenaspool-agent_commands() {
    local commands; commands=(
'run:Run the agent until SIGTERM, then drain' \
'check:Check a settings file' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'verbenaspool-agent commands' commands "$@"
}
(( $+functions[_verbenaspool-agent__subcmd__check_commands] )) ||
_verbenaspool-agent__subcmd__check_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool-agent check commands' commands "$@"
}
(( $+functions[_verbenaspool-agent__subcmd__help_commands] )) ||
_verbenaspool-agent__subcmd__help_commands() {
    local commands; commands=(
'run:Run the agent until SIGTERM, then drain' \
'check:Check a settings file' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'verbenaspool-agent help commands' commands "$@"
}
(( $+functions[_verbenaspool-agent__subcmd__help__subcmd__check_commands] )) ||
_verbenaspool-agent__subcmd__help__subcmd__check_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool-agent help check commands' commands "$@"
}
(( $+functions[_verbenaspool-agent__subcmd__help__subcmd__help_commands] )) ||
_verbenaspool-agent__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool-agent help help commands' commands "$@"
}
(( $+functions[_verbenaspool-agent__subcmd__help__subcmd__run_commands] )) ||
_verbenaspool-agent__subcmd__help__subcmd__run_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool-agent help run commands' commands "$@"
}
(( $+functions[_verbenaspool-agent__subcmd__run_commands] )) ||
_verbenaspool-agent__subcmd__run_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool-agent run commands' commands "$@"
}

if [ "$funcstack[1]" = "_verbenaspool-agent" ]; then
    _verbenaspool-agent "$@"
else
    compdef _verbenaspool-agent verbenaspool-agent
fi
