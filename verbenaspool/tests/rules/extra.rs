//! Checks that the committed completions and manual pages are up to date. They are
//! committed so that packaging needs no generator.
//! `UPDATE_EXPECT=1 cargo test -p verbenaspool --test rules` regenerates them.

use clap::Command;
use clap_complete::Shell;
use expect_test::expect_file;

/// The command lines of the two programs.
fn programs() -> [Command; 2] {
    [
        verbenaspool::cli::command(),
        verbenaspool_agent::command::command(),
    ]
}

/// Renders a manual page.
fn man_page(command: Command) -> String {
    let mut text = Vec::new();
    clap_mangen::Man::new(command).render(&mut text).unwrap();
    String::from_utf8(text).unwrap()
}

#[test]
fn completions_are_current() {
    for mut command in programs() {
        let name = command.get_name().to_owned();
        for shell in [Shell::Bash, Shell::Fish, Shell::Zsh] {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut command, &name, &mut text);
            let path = format!("../../../extra/completions/{name}.{shell}");
            expect_file![path].assert_eq(&String::from_utf8(text).unwrap());
        }
    }
}

#[test]
fn manual_pages_are_current() {
    for mut command in programs() {
        command.build();
        let name = command.get_name().to_owned();
        let path = format!("../../../extra/man/{name}.1");
        expect_file![path].assert_eq(&man_page(command.clone()));
        for subcommand in command.get_subcommands() {
            if subcommand.get_name() == "help" {
                continue;
            }
            let title = format!("{name}-{}", subcommand.get_name());
            let path = format!("../../../extra/man/{title}.1");
            let subcommand = subcommand.clone().display_name(&title);
            expect_file![path].assert_eq(&man_page(subcommand));
        }
    }
}
