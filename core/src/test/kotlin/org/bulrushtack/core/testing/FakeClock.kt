package org.bulrushtack.core.testing

import java.util.PriorityQueue

/** Virtual time with tasks that run in it. */
internal class FakeClock {
    private val tasks = PriorityQueue<Task>(compareBy({ it.atMillis }, { it.number }))
    private var count = 0L

    var nowMillis = 0L
        private set

    fun schedule(delayMillis: Long, action: () -> Unit) {
        tasks.add(Task(atMillis = nowMillis + delayMillis, number = count++, action = action))
    }

    fun advance(millis: Long) {
        val end = nowMillis + millis
        while (tasks.isNotEmpty() && tasks.peek().atMillis <= end) {
            val task = tasks.poll()
            nowMillis = task.atMillis
            task.action()
        }
        nowMillis = end
    }

    private class Task(
        val atMillis: Long,
        val number: Long,
        val action: () -> Unit,
    )
}
