//! A running local installation with all its processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pond_log::Logger;
use pond_process::Error;
use pond_settings::{Installation as File, Process as Settings, Role};
use pond_standin::{Host, LaggingList, Record};

use crate::folder::DataFolder;
use crate::plan::{Options, Plan};
use crate::standins::Standins;

/// A running local installation.
pub struct Installation {
    plan: Plan,
    control: BTreeMap<String, pond_control::Process>,
    entries: BTreeMap<String, pond_entry::Process>,
    endpoints: BTreeMap<String, pond_endpoint::Process>,
    standins: Standins,
    log: Logger,
    _folder: DataFolder,
}

impl Installation {
    /// Starts the stand-ins and all processes. Creates no units.
    ///
    /// # Errors
    /// [`Error`] of the folder, stand-in or process that failed to start.
    pub fn start(file: &File, options: &Options, log: Logger) -> Result<Installation, Error> {
        let folder = DataFolder::new(options.data_folder.as_deref())?;
        let plan = Plan::new(file, options, folder.path())?;
        let standins = Standins::start(&plan, file.list_lag_ms, file.usage_lag_ms)?;
        let mut installation = Installation {
            control: BTreeMap::new(),
            entries: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            standins,
            log,
            _folder: folder,
            plan: plan.clone(),
        };
        for settings in plan.control.iter().chain(&plan.endpoints).chain(&plan.entries) {
            installation.start_process(settings)?;
        }
        Ok(installation)
    }

    fn start_process(&mut self, settings: &Settings) -> Result<(), Error> {
        let log = self.log.new(pond_log::process_name(&settings.name));
        let name = settings.name.clone();
        match &settings.role {
            Role::Control(_) => {
                self.control.insert(name, pond_control::Process::start(settings, log)?);
            }
            Role::Entry(_) => {
                self.entries.insert(name, pond_entry::Process::start(settings, log)?);
            }
            Role::Endpoint(_) => {
                self.endpoints.insert(name, pond_endpoint::Process::start(settings, log)?);
            }
        }
        Ok(())
    }

    /// Returns the plan of the installation.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the addresses for callers, one per entry.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(pond_entry::Process::address).collect()
    }

    /// Returns the addresses for operators, one per control replica.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.plan.control[0].replicas.iter().map(|replica| replica.operator).collect()
    }

    /// Returns the address that serves the record of runs.
    pub fn record_address(&self) -> SocketAddr {
        self.standins.record_address
    }

    /// Returns the record of what endpoints ran.
    pub fn record(&self) -> &Record {
        &self.standins.record
    }

    /// Returns the platform's VM list.
    pub fn vm_list(&self) -> &LaggingList {
        &self.standins.list
    }

    /// Returns the worker of a VM.
    pub fn host(&self, vm: &str) -> Option<&Host> {
        self.standins.hosts.get(vm)
    }

    /// Returns the workers by VM name.
    pub fn hosts(&self) -> &BTreeMap<String, Host> {
        &self.standins.hosts
    }

    /// Stops a process in an orderly way. Returns false if no process of that name is running.
    pub fn stop_process(&mut self, name: &str) -> bool {
        if let Some(process) = self.control.remove(name) {
            process.stop();
        } else if let Some(process) = self.entries.remove(name) {
            process.stop();
        } else if let Some(process) = self.endpoints.remove(name) {
            process.stop();
        } else {
            return false;
        }
        true
    }

    /// Ends a control or endpoint process at once, as if it had been killed. Returns false if no
    /// such process of that name is running.
    pub fn kill_process(&mut self, name: &str) -> bool {
        if let Some(process) = self.endpoints.remove(name) {
            process.kill();
            return true;
        }
        if let Some(process) = self.control.remove(name) {
            process.kill();
            return true;
        }
        false
    }

    /// Restarts a stopped process with the same settings. An unknown name has no effect.
    ///
    /// # Errors
    /// [`Error`] if the process fails to start.
    pub fn restart_process(&mut self, name: &str) -> Result<(), Error> {
        let plan = self.plan.clone();
        let all = plan.control.iter().chain(&plan.endpoints).chain(&plan.entries);
        match all.into_iter().find(|settings| settings.name == name) {
            Some(settings) => self.start_process(settings),
            None => Ok(()),
        }
    }

    /// Stops in an orderly way: entries first, so that no request is cut off, then the rest.
    pub fn stop(self) {
        for entry in self.entries.into_values() {
            entry.stop();
        }
        for endpoint in self.endpoints.into_values() {
            endpoint.stop();
        }
        for control in self.control.into_values() {
            control.stop();
        }
        self.standins.stop();
    }
}
