#compdef verbenaspool

autoload -U is-at-least

_verbenaspool() {
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
":: :_verbenaspool_commands" \
"*::: :->verbenaspool" \
&& ret=0
    case $state in
    (verbenaspool)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:verbenaspool-command-$line[1]:"
        case $line[1] in
            (run)
_arguments "${_arguments_options[@]}" : \
'-s+[The settings file]:FILE:_files' \
'--settings=[The settings file]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(check)
_arguments "${_arguments_options[@]}" : \
'--json[Print the result as JSON]' \
'-h[Print help]' \
'--help[Print help]' \
':file -- The file to check:_files' \
&& ret=0
;;
(apply)
_arguments "${_arguments_options[@]}" : \
'-s+[The operator'\''s settings file]:FILE:_files' \
'--settings=[The operator'\''s settings file]:FILE:_files' \
'--expect=[Apply only if this is the currently accepted version; 0 if there is none]:VERSION:_default' \
'--id=[The id of the apply, to repeat an apply whose outcome is unknown]:ID:_default' \
'--timeout-ms=[How long to retry, in milliseconds]:MS:_default' \
'--json[Print the result as JSON]' \
'-h[Print help]' \
'--help[Print help]' \
':file -- The firm'\''s file:_files' \
&& ret=0
;;
(explain)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
':id -- The request id set by the caller, or the fingerprint of the request'\''s content:_default' \
'*::logs -- Log files with one JSON object per line; `-` is standard input:_files' \
&& ret=0
;;
(entries)
_arguments "${_arguments_options[@]}" : \
'--json[Print the report as JSON]' \
'-h[Print help]' \
'--help[Print help]' \
'*::addresses -- Control addresses of the entries:_default' \
&& ret=0
;;
(status)
_arguments "${_arguments_options[@]}" : \
'-s+[The operator'\''s settings file]:FILE:_files' \
'--settings=[The operator'\''s settings file]:FILE:_files' \
'--json[Print the report as JSON]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_verbenaspool__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:verbenaspool-help-command-$line[1]:"
        case $line[1] in
            (run)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(check)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(apply)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(explain)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(entries)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(status)
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

(( $+functions[_verbenaspool_commands] )) ||
_verbenaspool_commands() {
    local commands; commands=(
'run:Run the entry process' \
'check:Check a firm'\''s file, or an entry'\''s settings or a configuration of the direct path, and list all problems' \
'apply:Apply a firm'\''s file atomically' \
'explain:Show the outcome of a request from the logs of entries' \
'entries:Show the active configuration and the state of entries on the direct path' \
'status:Show the accepted version and where it is active' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'verbenaspool commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__apply_commands] )) ||
_verbenaspool__subcmd__apply_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool apply commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__check_commands] )) ||
_verbenaspool__subcmd__check_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool check commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__entries_commands] )) ||
_verbenaspool__subcmd__entries_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool entries commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__explain_commands] )) ||
_verbenaspool__subcmd__explain_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool explain commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__help_commands] )) ||
_verbenaspool__subcmd__help_commands() {
    local commands; commands=(
'run:Run the entry process' \
'check:Check a firm'\''s file, or an entry'\''s settings or a configuration of the direct path, and list all problems' \
'apply:Apply a firm'\''s file atomically' \
'explain:Show the outcome of a request from the logs of entries' \
'entries:Show the active configuration and the state of entries on the direct path' \
'status:Show the accepted version and where it is active' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'verbenaspool help commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__help__subcmd__apply_commands] )) ||
_verbenaspool__subcmd__help__subcmd__apply_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool help apply commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__help__subcmd__check_commands] )) ||
_verbenaspool__subcmd__help__subcmd__check_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool help check commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__help__subcmd__entries_commands] )) ||
_verbenaspool__subcmd__help__subcmd__entries_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool help entries commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__help__subcmd__explain_commands] )) ||
_verbenaspool__subcmd__help__subcmd__explain_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool help explain commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__help__subcmd__help_commands] )) ||
_verbenaspool__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool help help commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__help__subcmd__run_commands] )) ||
_verbenaspool__subcmd__help__subcmd__run_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool help run commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__help__subcmd__status_commands] )) ||
_verbenaspool__subcmd__help__subcmd__status_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool help status commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__run_commands] )) ||
_verbenaspool__subcmd__run_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool run commands' commands "$@"
}
(( $+functions[_verbenaspool__subcmd__status_commands] )) ||
_verbenaspool__subcmd__status_commands() {
    local commands; commands=()
    _describe -t commands 'verbenaspool status commands' commands "$@"
}

if [ "$funcstack[1]" = "_verbenaspool" ]; then
    _verbenaspool "$@"
else
    compdef _verbenaspool verbenaspool
fi
