package org.bulrushtack.core.scaling

/**
 * The servers of a service in one data centre, as the list of servers shows them.
 *
 * @property usable the servers that take requests
 * @property present all servers, those that are leaving included
 * @property isServing whether the data centre takes part: neither taken out of service nor dark
 */
public data class DataCentreServers(
    val name: String,
    val usable: Int,
    val present: Int,
    val isServing: Boolean,
)
