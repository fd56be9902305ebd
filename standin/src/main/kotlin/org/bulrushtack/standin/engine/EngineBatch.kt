package org.bulrushtack.standin.engine

/**
 * The engine's continuous batch. Each step prefills prompts in order of priority and decodes tokens of every
 * answer whose prompt is prefilled. The engine crashes when its memory or its cold-start limit is exceeded.
 */
internal class EngineBatch(
    private val options: EngineOptions,
    private val onCrash: () -> Unit,
) {
    private val tasks = LinkedHashMap<String, EngineTask>()
    private var startedAtMillis = 0L

    /** Identifies the current incarnation of the engine. */
    @Volatile
    var incarnation = ""
        private set

    /** The counters since the engine was created. */
    @Volatile
    var stats = EngineStats()
        private set

    /** The active injected faults. */
    @Volatile
    var faults = EngineFaults()

    /** Starts a new incarnation, cold and empty; connections of the previous one are aborted. */
    @Synchronized
    fun restart(nowMillis: Long) {
        tasks.values.forEach { it.abort() }
        tasks.clear()
        startedAtMillis = nowMillis
        incarnation = "life-$nowMillis-${stats.falls}"
    }

    /** Whether the engine is in cold start. */
    @Synchronized
    fun isCold(nowMillis: Long): Boolean = nowMillis - startedAtMillis < options.coldMillis

    /** Makes the engine cold again without a new incarnation or any notice to its clients. */
    @Synchronized
    fun coolDown(nowMillis: Long) {
        startedAtMillis = nowMillis
    }

    /** The requests in the batch. */
    @Synchronized
    fun list(): List<EngineTask> = tasks.values.toList()

    /** Adds a request; the engine crashes when that exceeds its cold-start limit. */
    @Synchronized
    fun add(task: EngineTask, nowMillis: Long) {
        tasks[task.id] = task
        val cold = isCold(nowMillis)
        stats = stats.copy(
            starts = stats.starts + 1,
            maximumCold = if (cold) maxOf(stats.maximumCold, tasks.size) else stats.maximumCold,
            maximumRunning = maxOf(stats.maximumRunning, tasks.size),
            lastStartAtMillis = nowMillis,
        )
        if (cold && tasks.size > options.coldConcurrency) crash(nowMillis)
    }

    /** Cancels a request; returns whether it was in the batch. */
    @Synchronized
    fun cancel(id: String): Boolean {
        val task = tasks.remove(id) ?: return false
        task.abort()
        return true
    }

    /** Runs one step of the batch. */
    @Synchronized
    fun step(nowMillis: Long) {
        if (!faults.silent) {
            prefill(nowMillis)
            decode()
        }
        val heldTokens = tasks.values.sumOf { it.heldTokens }
        stats = stats.copy(
            maximumHeldTokens = maxOf(stats.maximumHeldTokens, heldTokens),
            heldTokens = heldTokens,
            running = tasks.size,
        )
        if (heldTokens > options.memoryTokens) crash(nowMillis)
    }

    private fun prefill(nowMillis: Long) {
        val tokensPerSecond = options.prefillTokensPerSecond / if (isCold(nowMillis)) COLD_SLOWDOWN_FACTOR else 1
        var budgetTokens = tokensPerSecond * options.stepMillis / MILLIS_PER_SECOND
        val waiting = tasks.values
            .filter { it.remainingPrefillTokens > 0 }
            .sortedWith(compareBy({ it.priority }, { it.arrivedAtMillis }))
        for (task in waiting) {
            val stepTokens = minOf(budgetTokens, task.remainingPrefillTokens)
            task.prefilledTokens += stepTokens
            budgetTokens -= stepTokens
        }
    }

    private fun decode() {
        val tokensPerSecond =
            if (faults.trickle) TRICKLE_TOKENS_PER_SECOND else options.decodeTokensPerSecond.toDouble()
        val completedTasks = tasks.values.filter { it.remainingPrefillTokens <= 0 }
            .onEach { it.decode(tokensPerSecond * options.stepMillis / MILLIS_PER_SECOND) }
            .filter { it.isComplete }
        completedTasks.forEach { task ->
            tasks.remove(task.id)
            task.finish()
        }
    }

    private fun crash(nowMillis: Long) {
        stats = stats.copy(falls = stats.falls + 1)
        restart(nowMillis)
        onCrash()
    }
}

private const val MILLIS_PER_SECOND = 1_000L
private const val COLD_SLOWDOWN_FACTOR = 4
private const val TRICKLE_TOKENS_PER_SECOND = 1.0 / 60
