package org.bulrushtack.daemon.front

import org.bulrushtack.core.call.IdempotencyKey
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange
import java.security.SecureRandom

/** Returns the addresses that callers may use, how long they may cache them, and a new idempotency key. */
internal class EntryResource(
    private val control: ControlThread,
    private val wallClock: WallClock,
    private val random: SecureRandom,
) : Resource {
    override fun handle(exchange: HttpExchange, requestId: String) {
        val snapshot = control.snapshot
        if (!snapshot.configured || snapshot.entryVms.isEmpty()) {
            val kind = if (snapshot.leaving) ErrorKind.DRAINING else ErrorKind.NOT_READY
            exchange.respond(ProblemWriter.response(problem = Problem(kind), requestId = requestId))
            return
        }
        val key = IdempotencyKey.generate(
            nowMillis = wallClock.nowMillis(),
            random = random.nextLong() to random.nextLong(),
        )
        val answer = EntryAnswer(
            keepSeconds = snapshot.tree.number(SettingsPath.ROOT, SettingsSchema.ENTRY_KEEP_SECONDS),
            entries = snapshot.entryVms.map { EntryRow(address = it.address, dataCentre = it.dataCentre) },
            idempotencyKey = key.text,
        )
        exchange.respond(Json.response(status = 200, value = answer))
    }

    private data class EntryAnswer(
        val keepSeconds: Long,
        val entries: List<EntryRow>,
        val idempotencyKey: String,
    )

    private data class EntryRow(
        val address: String,
        val dataCentre: String,
    )
}
