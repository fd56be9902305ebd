package org.bulrushtack.forward.duty

import org.bulrushtack.core.duty.UsageSnapshot
import java.io.ByteArrayOutputStream
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Encodes the collected usage as compressed binary data; workspaces are written once and then referred to. */
internal object UsageSnapshotCodec {
    fun encode(snapshot: UsageSnapshot): ByteArray {
        val bytes = ByteArrayOutputStream()
        val deflater = Deflater(Deflater.BEST_SPEED)
        DataOutputStream(DeflaterOutputStream(bytes, deflater)).use { write(it, snapshot) }
        deflater.end()
        return bytes.toByteArray()
    }

    /** The snapshot in [bytes], or null if they are none. */
    fun decode(bytes: ByteArray): UsageSnapshot? = try {
        DataInputStream(InflaterInputStream(bytes.inputStream())).use { read(it) }
    } catch (_: IOException) {
        null
    }

    private fun write(output: DataOutputStream, snapshot: UsageSnapshot) {
        output.writeByte(VERSION)
        output.writeLong(snapshot.settledThrough)
        writeList(output, snapshot.accepted) { output.writeLong(it) }
        val usages = snapshot.counts.values.flatMap { it.values }
        val workspaces = usages.flatMapTo(LinkedHashSet()) { it.keys }
        val numbers = workspaces.withIndex().associate { (index, workspace) -> workspace to index }
        writeList(output, workspaces) { output.writeUTF(it) }
        writeList(output, snapshot.counts.entries) { (source, byWindow) ->
            output.writeUTF(source)
            writeList(output, byWindow.entries) { (window, byWorkspace) ->
                output.writeLong(window)
                writeList(output, byWorkspace.entries) { (workspace, count) ->
                    output.writeInt(numbers.getValue(workspace))
                    output.writeLong(count)
                }
            }
        }
    }

    private fun read(input: DataInputStream): UsageSnapshot {
        if (input.readByte().toInt() != VERSION) throw IOException("another version of the format")
        val settledThrough = input.readLong()
        val accepted = readList(input) { input.readLong() }.toSet()
        val workspaces = readList(input) { input.readUTF() }
        val counts = readList(input) {
            input.readUTF() to readList(input) { input.readLong() to readCounts(input, workspaces) }.toMap()
        }
        return UsageSnapshot(settledThrough, accepted, counts.toMap())
    }

    private fun readCounts(input: DataInputStream, workspaces: List<String>): Map<String, Long> =
        readList(input) {
            val workspace = workspaces.getOrNull(input.readInt()) ?: throw IOException("an unknown workspace")
            workspace to input.readLong()
        }.toMap()

    private fun <T> writeList(output: DataOutputStream, items: Collection<T>, write: (T) -> Unit) {
        output.writeInt(items.size)
        items.forEach(write)
    }

    private fun <T> readList(input: DataInputStream, read: () -> T): List<T> {
        val size = input.readInt()
        if (size !in 0..MAXIMUM_ITEMS) throw IOException("a list of $size items")
        return List(size) { read() }
    }
}

private const val VERSION = 1

/** Far above the daemons, windows and workspaces of any deployment. */
private const val MAXIMUM_ITEMS = 1_000_000
