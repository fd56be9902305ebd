package org.bulrushtack.core.log

/**
 * The recorded owner of a backend server.
 *
 * @property owner the owning daemon's name, or null after a release
 * @property epoch the offset of the record that set the owner; fencing numbers increase with it
 * @property predecessors earlier owners that may not have learned of their replacement yet, the latest last
 */
public data class OwnerEntry(
    val owner: String?,
    val ownerIncarnation: String?,
    val epoch: Long,
    val predecessors: List<Predecessor>,
) {
    /** An earlier owner. */
    public data class Predecessor(
        val owner: String,
        val incarnation: String,
    )
}
