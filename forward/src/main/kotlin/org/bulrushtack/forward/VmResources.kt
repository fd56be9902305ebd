package org.bulrushtack.forward

/**
 * The resources of the VM, as its settings state them; 0 stands for unknown.
 *
 * @property processorShare the share of one reference core that the process gets, in thousandths
 * @property memoryBytes the resident memory at which the platform kills the process
 * @property descriptors the number of file descriptors, those for files included
 * @property linkKilobits the data rate of its link in kilobits a second
 */
data class VmResources(
    val processorShare: Long = 0,
    val memoryBytes: Long = 0,
    val descriptors: Long = 0,
    val linkKilobits: Long = 0,
)
