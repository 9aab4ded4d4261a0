//! Arguments, flags and examples of a command.

/// A flag of a command.
#[derive(Clone, Copy, Debug)]
pub struct Flag {
    /// Name after `--`.
    pub name: &'static str,
    /// Name of the value in the help; `None` for a flag without value.
    pub value_name: Option<&'static str>,
    /// Description.
    pub description: &'static str,
}

impl Flag {
    /// Creates a flag without value.
    pub const fn switch(name: &'static str, description: &'static str) -> Flag {
        Flag { name, value_name: None, description }
    }

    /// Creates a flag with a value.
    pub const fn value(
        name: &'static str,
        value_name: &'static str,
        description: &'static str,
    ) -> Flag {
        Flag { name, value_name: Some(value_name), description }
    }
}

/// The arguments and flags of a command.
#[derive(Clone, Debug, Default)]
pub struct Signature {
    /// Arguments as shown in the help.
    pub arguments: &'static str,
    /// Minimum number of arguments.
    pub min_arguments: usize,
    /// Maximum number of arguments.
    pub max_arguments: usize,
    /// Flags.
    pub flags: Vec<Flag>,
}

impl Signature {
    /// Creates a signature without arguments and flags.
    pub fn new() -> Signature {
        Signature::default()
    }

    /// Sets the arguments, with their minimum and maximum number.
    pub fn with_arguments(mut self, text: &'static str, min: usize, max: usize) -> Signature {
        (self.arguments, self.min_arguments, self.max_arguments) = (text, min, max);
        self
    }

    /// Adds a flag.
    pub fn with_flag(mut self, flag: Flag) -> Signature {
        self.flags.push(flag);
        self
    }

    /// Adds the flags of commands that send requests to control.
    pub fn with_control_flags(self) -> Signature {
        self.with_flag(Flag::value(
            "control",
            "ADDRESS",
            "operator addresses of control replicas, separated by commas \
             (default: PONDBAY_CONTROL, else 127.0.0.1:7400)",
        ))
        .with_flag(Flag::value("token", "TOKEN", "operator token (default: PONDBAY_TOKEN)"))
        .with_flag(Flag::switch("json", "print JSON"))
    }

    /// Adds the flags of commands that send orders.
    pub fn with_order_flags(self) -> Signature {
        self.with_control_flags()
            .with_flag(Flag::value("who", "NAME", "name of the operator (default: USER)"))
            .with_flag(Flag::value(
                "request",
                "ID",
                "identity of the order; a resend with the same identity returns the first result",
            ))
            .with_flag(Flag::value(
                "expect",
                "VERSION",
                "refuse the order if another order was accepted after this version",
            ))
    }
}

/// An example of a command, which also runs as a test.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// Command line without the program name.
    pub command_line: &'static str,
    /// Description.
    pub description: &'static str,
    /// Text that the output contains.
    pub expected_output: &'static str,
    /// Whether it needs a running installation of `examples/found-property-matching.yaml`.
    pub needs_control: bool,
}

impl Example {
    /// Creates an example that needs no running installation.
    pub const fn new(
        command_line: &'static str,
        description: &'static str,
        expected_output: &'static str,
    ) -> Example {
        Example { command_line, description, expected_output, needs_control: false }
    }

    /// Creates an example that needs a running installation.
    pub const fn with_control(
        command_line: &'static str,
        description: &'static str,
        expected_output: &'static str,
    ) -> Example {
        Example { command_line, description, expected_output, needs_control: true }
    }
}
