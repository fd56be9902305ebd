package org.bulrushtack.core.testing

import java.util.PriorityQueue

/** A virtual clock that runs scheduled tasks as it is advanced. */
internal class FakeClock {
    private val tasks = PriorityQueue<Task>(compareBy({ it.atMillis }, { it.number }))
    private var count = 0L

    var nowMillis = 0L
        private set

    fun schedule(delayMillis: Long, action: () -> Unit) {
        tasks.add(Task(atMillis = nowMillis + delayMillis, number = count++, action = action))
    }

    fun advance(millis: Long) {
        val targetMillis = nowMillis + millis
        while (tasks.isNotEmpty() && tasks.peek().atMillis <= targetMillis) {
            val task = tasks.poll()
            nowMillis = task.atMillis
            task.action()
        }
        nowMillis = targetMillis
    }

    private class Task(
        val atMillis: Long,
        val number: Long,
        val action: () -> Unit,
    )
}
