package org.bulrushtack.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.required
import org.bulrushtack.program.ProgramCommand

/** Registers an entry VM in the platform's VM list, as the platform itself would. */
@OptIn(ExperimentalCli::class)
internal class EntryVmCommand : ProgramCommand(name = "entry-vm", description = "register an entry VM in the VM list") {
    private val control by option(ArgType.String, description = "the platform's control address").required()
    private val vmName by option(ArgType.String, fullName = "name", description = "the VM's name").required()
    private val dataCentre by option(ArgType.String, fullName = "data-centre", description = "its data centre")
        .required()
    private val http by option(ArgType.String, description = "address for callers").required()
    private val peer by option(ArgType.String, description = "address for other daemons").required()

    override fun run() {
        val row = VmRow(name = vmName, kind = "entry", dataCentre = dataCentre, http = http, peer = peer)
        row.register(control)
    }
}
