package org.bulrushtack.standin.engine

/**
 * The engine's continuous batch. Each step reads some of the prompts, the most urgent first, and adds tokens to
 * every answer whose prompt is read. What outgrows the memory, or what a cold engine can't bear, fells it.
 */
internal class EngineBatch(
    private val options: EngineOptions,
    private val onFall: () -> Unit,
) {
    private val tasks = LinkedHashMap<String, EngineTask>()
    private var startedAtMillis = 0L

    /** Distinguishes this life of the engine from earlier ones. */
    @Volatile
    var incarnation = ""
        private set

    /** What happened so far. */
    @Volatile
    var stats = EngineStats()
        private set

    /** The faults that are switched on. */
    @Volatile
    var faults = EngineFaults()

    /** Starts a new life, cold and empty; connections of the old one are broken off. */
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

    /** Turns cold again without a new life and without a word. */
    @Synchronized
    fun coolDown(nowMillis: Long) {
        startedAtMillis = nowMillis
    }

    /** What it holds. */
    @Synchronized
    fun list(): List<EngineTask> = tasks.values.toList()

    /** Takes a request; one more than a cold engine bears fells it. */
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
        if (cold && tasks.size > options.coldConcurrency) fall(nowMillis)
    }

    /** Ends a request that is no longer wanted; says whether it was there. */
    @Synchronized
    fun cancel(id: String): Boolean {
        val task = tasks.remove(id) ?: return false
        task.abort()
        return true
    }

    /** Does the work of one step. */
    @Synchronized
    fun step(nowMillis: Long) {
        if (!faults.silent) {
            prefill(nowMillis)
            decode()
        }
        val held = tasks.values.sumOf { it.heldTokens }
        stats = stats.copy(
            maximumHeldTokens = maxOf(stats.maximumHeldTokens, held),
            heldTokens = held,
            running = tasks.size,
        )
        if (held > options.memoryTokens) fall(nowMillis)
    }

    private fun prefill(nowMillis: Long) {
        val rate = options.prefillTokensPerSecond / if (isCold(nowMillis)) COLD_SLOWDOWN else 1
        var budget = rate * options.stepMillis / MILLIS_PER_SECOND
        val waiting = tasks.values
            .filter { it.toPrefill > 0 }
            .sortedWith(compareBy({ it.priority }, { it.arrivedAtMillis }))
        for (task in waiting) {
            val share = minOf(budget, task.toPrefill)
            task.prefilled += share
            budget -= share
        }
    }

    private fun decode() {
        val perSecond = if (faults.trickle) TRICKLE_TOKENS_PER_SECOND else options.decodeTokensPerSecond.toDouble()
        val done = tasks.values.filter { it.toPrefill <= 0 }
            .onEach { it.decode(perSecond * options.stepMillis / MILLIS_PER_SECOND) }
            .filter { it.isDone }
        done.forEach { task ->
            tasks.remove(task.id)
            task.finish()
        }
    }

    private fun fall(nowMillis: Long) {
        stats = stats.copy(falls = stats.falls + 1)
        restart(nowMillis)
        onFall()
    }
}

private const val MILLIS_PER_SECOND = 1_000L
private const val COLD_SLOWDOWN = 4
private const val TRICKLE_TOKENS_PER_SECOND = 1.0 / 60
