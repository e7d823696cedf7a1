//! The commands and options, and the help texts that are generated from them.

use std::fmt::Write as _;

/// The description of a command.
pub(super) struct CommandSpec {
    pub(super) name: &'static str,
    /// The arguments as the usage line shows them.
    pub(super) args: &'static str,
    /// The smallest and the largest number of arguments.
    pub(super) count: (usize, usize),
    pub(super) about: &'static str,
    pub(super) details: &'static str,
    /// The names of the options that the command takes, besides those of all commands.
    pub(super) options: &'static [&'static str],
}

/// The description of an option.
pub(super) struct OptionSpec {
    pub(super) name: &'static str,
    /// The placeholder of the value in the help; empty if the option takes no value.
    pub(super) hint: &'static str,
    pub(super) about: &'static str,
}

/// The options of commands that call a node.
const NODE_OPTIONS: &[&str] = &["node", "operator-token"];
/// The options of commands that call a node and can print JSON.
const NODE_JSON_OPTIONS: &[&str] = &["node", "operator-token", "json"];

pub(super) const COMMANDS: [CommandSpec; 13] = [
    CommandSpec {
        name: "check",
        args: "DIR",
        count: (1, 1),
        about: "check the operator files in DIR and below it",
        details: "Reads every lacewing.toml and names each fault with its file, line and key.\n\
                  No node is called.",
        options: &["json"],
    },
    CommandSpec {
        name: "try",
        args: "DIR",
        count: (1, 1),
        about: "run the operator files on an embedded cell, on virtual time",
        details: "Shows what becomes of each unit of work, waiting times, packing and control cost.\n\
                  One seed gives the same output each time. Exits with 1 if a promise was broken.",
        options: &["seed", "workers", "faults", "log", "json"],
    },
    CommandSpec {
        name: "load",
        args: "",
        count: (0, 0),
        about: "compare scheduling policies on a load of jobs, on virtual time",
        details: "Plays a generated load, or a recorded one, under each policy, and shows what the jobs\n\
                  were worth, how long they waited, and what work was lost. One seed gives the same\n\
                  figures each time. Exits with 1 if a promise was broken.",
        options: &[
            "seed",
            "seeds",
            "shape",
            "workers",
            "factors",
            "seconds",
            "policies",
            "lost",
            "outage",
            "slow-table",
            "restart",
            "recorded",
            "record",
            "plot",
            "json",
        ],
    },
    CommandSpec {
        name: "explain",
        args: "LOG..",
        count: (1, 1_000),
        about: "show from the logs of nodes where the time of late jobs went",
        details: "Reads the logs of all nodes, in any order; - is standard input. Shows for each queue and\n\
                  each window of time how many jobs were late or refused, and the mean of each wait of\n\
                  the late ones.",
        options: &["window", "json"],
    },
    CommandSpec {
        name: "publish",
        args: "DIR",
        count: (1, 1),
        about: "put the operator files in force, and submit their batches and jobs",
        details: "Shows what changes, submits it, and waits until each node has it in force.\n\
                  A change that another operator has made in between is named, and nothing is done.",
        options: &["node", "operator-token", "dry-run", "json"],
    },
    CommandSpec {
        name: "status",
        args: "[NAME]",
        count: (0, 1),
        about: "show what became of units of work",
        details: "Without a name, shows all units.",
        options: NODE_JSON_OPTIONS,
    },
    CommandSpec {
        name: "cancel",
        args: "NAME",
        count: (1, 1),
        about: "cancel a unit of work",
        details: "Its tasks are stopped, and those that wait are not started.",
        options: NODE_OPTIONS,
    },
    CommandSpec {
        name: "recall",
        args: "[batch|worker|setting ID]",
        count: (0, 2),
        about: "recall a batch, a worker or a service's setting; or list what is recalled",
        details: "A recall is in force everywhere within seconds, and until it is lifted.\n\
                  IDs: a batch's or job's name; a worker such as w7; a setting such as\n\
                  dealer-lookup@12, that is, what version 12 set for the service.",
        options: NODE_JSON_OPTIONS,
    },
    CommandSpec {
        name: "lift",
        args: "batch|worker|setting ID",
        count: (1, 2),
        about: "lift a recall",
        details: "Also takes the form that `lacewing recall` lists, such as worker/w7.",
        options: NODE_OPTIONS,
    },
    CommandSpec {
        name: "drain",
        args: "NODE",
        count: (1, 1),
        about: "shut a node down without cutting off a request",
        details: "NODE is a node's number, such as n3. Its lease is handed over, and the requests in\n\
                  flight are finished, before it exits.",
        options: NODE_OPTIONS,
    },
    CommandSpec {
        name: "evacuate",
        args: "DOMAIN",
        count: (1, 1),
        about: "move the work of a failure domain to the others",
        details: "Nothing new is placed there until `lacewing evacuate --undo DOMAIN`.",
        options: &["node", "operator-token", "undo"],
    },
    CommandSpec {
        name: "dump",
        args: "[NODE]",
        count: (0, 1),
        about: "show a node's state as JSON",
        details: "NODE is the node's address; that of --node if there is none.",
        options: NODE_OPTIONS,
    },
    CommandSpec {
        name: "help",
        args: "[COMMAND]",
        count: (0, 1),
        about: "show this help, or that of a command",
        details: "",
        options: &[],
    },
];

pub(super) const OPTIONS: [OptionSpec; 23] = [
    OptionSpec {
        name: "node",
        hint: "URL",
        about: "the node to call, such as http://10.0.0.1:7000 [LACEWING_NODE]",
    },
    OptionSpec {
        name: "operator-token",
        hint: "TOKEN",
        about: "the operators' token [LACEWING_OPERATOR_TOKEN]",
    },
    OptionSpec {
        name: "json",
        hint: "",
        about: "print JSON",
    },
    OptionSpec {
        name: "dry-run",
        hint: "",
        about: "show what would change, and change nothing",
    },
    OptionSpec {
        name: "undo",
        hint: "",
        about: "let the domain take work again",
    },
    OptionSpec {
        name: "seed",
        hint: "N",
        about: "what all that is random depends on (1)",
    },
    OptionSpec {
        name: "workers",
        hint: "N",
        about: "how many workers there are (12; for `load` those of the shape)",
    },
    OptionSpec {
        name: "seeds",
        hint: "N",
        about: "how many seeds to take the mean of (1)",
    },
    OptionSpec {
        name: "shape",
        hint: "desk|large",
        about: "the fleet: 48 workers, or 540 with wide gangs (desk)",
    },
    OptionSpec {
        name: "window",
        hint: "SECONDS",
        about: "the length of a window (2)",
    },
    OptionSpec {
        name: "outage",
        hint: "MS",
        about: "for how long the table is away, from two fifths of the time on (never)",
    },
    OptionSpec {
        name: "slow-table",
        hint: "MS",
        about: "for how long the table is slow, from a fifth of the time on (never)",
    },
    OptionSpec {
        name: "restart",
        hint: "",
        about: "restart all nodes at four fifths of the time",
    },
    OptionSpec {
        name: "factors",
        hint: "X,..",
        about: "loads, as multiples of one that asks for 0.8 of the shape's workers (1,1.3,2)",
    },
    OptionSpec {
        name: "seconds",
        hint: "N",
        about: "for how long jobs come (20)",
    },
    OptionSpec {
        name: "policies",
        hint: "NAME,..",
        about: "standard, no-preemption, gangs-preempt, no-holding, few-approvals, hope, arrival,\n\
                rank, shortest (all)",
    },
    OptionSpec {
        name: "lost",
        hint: "N",
        about: "workers that are lost for good in the second half (0)",
    },
    OptionSpec {
        name: "recorded",
        hint: "FILE",
        about: "play the jobs of a file instead, a line of JSON each",
    },
    OptionSpec {
        name: "record",
        hint: "FILE",
        about: "write the load of the first factor to a file, and play nothing",
    },
    OptionSpec {
        name: "plot",
        hint: "FILE",
        about: "draw worth over time as SVG; with several loads, one file each",
    },
    OptionSpec {
        name: "faults",
        hint: "none|some|many",
        about: "how many faults there are (none)",
    },
    OptionSpec {
        name: "log",
        hint: "",
        about: "also show what happened, in the order of time",
    },
    OptionSpec {
        name: "help",
        hint: "",
        about: "show this help",
    },
];

/// Returns the command with a name.
pub(super) fn command(name: &str) -> Option<&'static CommandSpec> {
    COMMANDS.iter().find(|spec| spec.name == name)
}

/// Returns the help of the program.
pub(super) fn general_help() -> String {
    let mut text = "\
lacewing: publishes and watches over unlike work on one shared cluster

Usage: lacewing COMMAND [ARGUMENTS] [OPTIONS]

Commands:
"
    .to_owned();
    for spec in &COMMANDS {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "  {:<9} {}", spec.name, spec.about);
    }
    text.push_str(
        "
`lacewing help COMMAND` shows the arguments and options of a command.

Options of all commands:
  --help, -h       show help
  --version, -V    show the version

Variables:
  LACEWING_NODE            the node to call; --node goes before it
  LACEWING_OPERATOR_TOKEN  the operators' token; --operator-token goes before it

Exit codes:
  0  done
  1  refused or failed; nothing was done
  2  wrong usage, or a fault in an operator file
  3  may have been done: look at `lacewing status` before you try again
",
    );
    text
}

/// Returns the help of a command.
pub(super) fn command_help(spec: &CommandSpec) -> String {
    let mut text = format!("lacewing {}: {}\n\n", spec.name, spec.about);
    let usage = format!("Usage: lacewing {} {} [OPTIONS]", spec.name, spec.args);
    text.push_str(&usage.replace("  ", " "));
    text.push('\n');
    if !spec.details.is_empty() {
        let _ = write!(text, "\n{}\n", spec.details);
    }
    text.push_str("\nOptions:\n");
    let taken = |option: &&OptionSpec| option.name == "help" || spec.options.contains(&option.name);
    for option in OPTIONS.iter().filter(taken) {
        let left = format!("--{} {}", option.name, option.hint);
        let _ = writeln!(text, "  {left:<26} {}", option.about);
    }
    text
}
