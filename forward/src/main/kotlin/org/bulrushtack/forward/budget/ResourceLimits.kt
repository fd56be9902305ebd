package org.bulrushtack.forward.budget

import org.bulrushtack.forward.ClientLimits
import org.bulrushtack.forward.VmResources
import org.bulrushtack.http.budget.BudgetLimits

/**
 * Works out what a daemon may hold for its clients from the resources of its [vm] and of its [process], where the
 * settings of [clients] don't say it; bodies may take [bodyBytes] of it.
 */
class ResourceLimits(
    private val vm: VmResources,
    private val clients: ClientLimits,
    private val bodyBytes: Long,
    private val process: ProcessResources,
) {
    private val heldBytes = clients.heldBytes.takeIf { it > 0 } ?: minOf(
        process.heapBytes / HEAP_DIVISOR,
        if (vm.memoryBytes > 0) vm.memoryBytes / MEMORY_DIVISOR else Long.MAX_VALUE,
        // A VM that is too small for the share above has to start all the same.
        if (vm.memoryBytes > 0) {
            maxOf(vm.memoryBytes - PROCESS_BYTES, vm.memoryBytes / RESERVE_DIVISOR)
        } else {
            Long.MAX_VALUE
        },
    )

    /** Whether even the usual share leaves too little for the process; what is worked out then gives way. */
    private val isSmall = vm.memoryBytes in 1 until vm.memoryBytes / MEMORY_DIVISOR + PROCESS_BYTES
    private val descriptors = if (vm.descriptors > 0) vm.descriptors else process.descriptors
    private val availableSockets = maxOf(descriptors - FILE_DESCRIPTORS, descriptors / 2)
    private val sockets = clients.connections.takeIf { it > 0 } ?: availableSockets

    /** The limits; that of the time for headers comes with the configuration. */
    fun limits(): BudgetLimits = BudgetLimits(
        heldBytes = heldBytes,
        unreadBytes = process.directBytes / UNREAD_DIVISOR,
        sockets = sockets.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(),
        stallMillis = clients.stallMillis,
        slowBytesPerSecond = clients.slowBytesPerSecond,
    )

    /** What is wrong: the sums of limits that are set and don't fit the VM; limits that are worked out always fit. */
    fun errors(): List<String> = buildList {
        if (clients.heldBytes > 0 && vm.memoryBytes in 1 until heldBytes + PROCESS_BYTES) {
            add(
                "${megabytes(heldBytes)} MB for clients and ${megabytes(PROCESS_BYTES)} MB for the process itself " +
                    "don't fit into the VM's ${megabytes(vm.memoryBytes)} MB",
            )
        }
        if (!isSmall && bodyBytes > heldBytes - heldBytes / RESERVE_DIVISOR) {
            add(
                "${megabytes(bodyBytes)} MB for bodies and a reserve of an eighth don't fit into the " +
                    "${megabytes(heldBytes)} MB for clients",
            )
        }
        if (sockets > availableSockets) {
            add("$sockets sockets and $FILE_DESCRIPTORS descriptors for files don't fit into the VM's $descriptors")
        }
        if (sockets < MINIMUM_SOCKETS) add("$sockets sockets are fewer than the $MINIMUM_SOCKETS that a daemon needs")
    }
}

private fun megabytes(bytes: Long): Long = bytes / BYTES_PER_MEGABYTE

private const val BYTES_PER_MEGABYTE = 1_048_576L

/** The other half is for what the daemon knows, for responses and for garbage. */
private const val HEAP_DIVISOR = 2
private const val MEMORY_DIVISOR = 4
private const val RESERVE_DIVISOR = 8

/** What is kept as it was read may take twice its size of direct memory, and the rest is for reads and writes. */
private const val UNREAD_DIVISOR = 4

/** Of the descriptors of a VM, these are only for files. */
private const val FILE_DESCRIPTORS = 200L
private const val MINIMUM_SOCKETS = 64L

/** Code, classes and threads of the process: a daemon under the lightest crowds of the tests takes 94 to 97 MB. */
private const val PROCESS_BYTES = 94_371_840L
