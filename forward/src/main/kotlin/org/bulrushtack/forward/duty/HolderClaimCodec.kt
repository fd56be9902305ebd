package org.bulrushtack.forward.duty

import org.bulrushtack.core.duty.HolderClaim
import org.bulrushtack.core.store.StoreRecord

/** Encodes claims to the duties as three lines: the VM's name, its incarnation and the claim's nonce. */
internal object HolderClaimCodec {
    /** The key of the newest claim. */
    const val KEY: String = "holder"

    fun encode(name: String, incarnation: String, nonce: String): ByteArray =
        listOf(name, incarnation, nonce).joinToString("\n").encodeToByteArray()

    /** The claim in [record]; one that can't be read is no daemon's, so that its lease has to pass. */
    fun decode(record: StoreRecord): HolderClaim {
        val lines = record.value?.decodeToString().orEmpty().lines()
        return HolderClaim(
            name = lines.getOrNull(0).orEmpty(),
            incarnation = lines.getOrNull(1).orEmpty(),
            nonce = lines.getOrNull(2).orEmpty(),
            token = record.offset,
        )
    }
}
