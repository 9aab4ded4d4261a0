//! What a command takes.

/// A flag of a command.
#[derive(Clone, Copy, Debug)]
pub struct Flag {
    /// Its name after `--`.
    pub name: &'static str,
    /// What its value is called; none for a flag without value.
    pub value: Option<&'static str>,
    /// What it does.
    pub text: &'static str,
}

impl Flag {
    /// A flag without value.
    pub const fn switch(name: &'static str, text: &'static str) -> Flag {
        Flag { name, value: None, text }
    }

    /// A flag with a value.
    pub const fn value(name: &'static str, value: &'static str, text: &'static str) -> Flag {
        Flag { name, value: Some(value), text }
    }
}

/// The arguments and flags of a command.
#[derive(Clone, Debug, Default)]
pub struct Signature {
    /// The arguments, as they stand in the help.
    pub arguments: &'static str,
    /// How many arguments there must be at least.
    pub least: usize,
    /// How many there may be at most.
    pub most: usize,
    /// The flags.
    pub flags: Vec<Flag>,
}

impl Signature {
    /// No arguments and no flags.
    pub fn new() -> Signature {
        Signature::default()
    }

    /// With arguments, between `least` and `most` of them.
    pub fn with_arguments(mut self, text: &'static str, least: usize, most: usize) -> Signature {
        (self.arguments, self.least, self.most) = (text, least, most);
        self
    }

    /// With a flag.
    pub fn with_flag(mut self, flag: Flag) -> Signature {
        self.flags.push(flag);
        self
    }

    /// With the flags of commands that ask control.
    pub fn with_control_flags(self) -> Signature {
        self.with_flag(Flag::value(
            "control",
            "ADDRESS",
            "operator addresses of control replicas, separated by commas \
             (else PONDBAY_CONTROL, else 127.0.0.1:7400)",
        ))
        .with_flag(Flag::value("token", "TOKEN", "the operator's token (else PONDBAY_TOKEN)"))
        .with_flag(Flag::switch("json", "print JSON for programs"))
    }

    /// With the flags of commands that change something.
    pub fn with_order_flags(self) -> Signature {
        self.with_control_flags()
            .with_flag(Flag::value("who", "NAME", "who orders it (else USER)"))
            .with_flag(Flag::value(
                "request",
                "ID",
                "identity of the order; a resend with the same one gets the first result",
            ))
            .with_flag(Flag::value(
                "expect",
                "VERSION",
                "refuse the order if another one was accepted after this version",
            ))
    }
}

/// A line that works.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// The line after `pondbay`.
    pub line: &'static str,
    /// What it shows.
    pub text: &'static str,
    /// A part of what it prints.
    pub prints: &'static str,
    /// Whether it needs a running installation, namely `examples/found-property-matching.yaml`.
    pub needs_control: bool,
}

impl Example {
    /// An example that runs by itself.
    pub const fn new(line: &'static str, text: &'static str, prints: &'static str) -> Example {
        Example { line, text, prints, needs_control: false }
    }

    /// An example that needs a running installation.
    pub const fn with_control(
        line: &'static str,
        text: &'static str,
        prints: &'static str,
    ) -> Example {
        Example { line, text, prints, needs_control: true }
    }
}
