package org.bulrushtack.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import org.bulrushtack.standin.engine.EngineOptions
import org.bulrushtack.standin.engine.EngineStandIn

/** Starts a stand-in for a model engine. */
@OptIn(ExperimentalCli::class)
internal class EngineCommand : StandInCommand(name = "engine", description = "a model engine") {
    private val defaults = EngineOptions()
    private val model by option(ArgType.String, description = "model that it serves").default(defaults.model)
    private val memory by option(ArgType.Int, fullName = "memory-tokens", description = "memory in tokens")
        .default(defaults.memoryTokens.toInt())
    private val coldMillis by option(ArgType.Int, fullName = "cold-millis", description = "duration of the cold start")
        .default(defaults.coldMillis.toInt())
    private val coldConcurrency by option(
        ArgType.Int,
        fullName = "cold-concurrency",
        description = "requests that it can hold while cold",
    ).default(defaults.coldConcurrency)
    private val prefill by option(ArgType.Int, fullName = "prefill-rate", description = "prompt tokens a second")
        .default(defaults.prefillTokensPerSecond.toInt())
    private val decode by option(ArgType.Int, fullName = "decode-rate", description = "tokens a second of an answer")
        .default(defaults.decodeTokensPerSecond.toInt())
    private val checksFencing by option(
        ArgType.Boolean,
        fullName = "checks-fencing",
        description = "reject orders with outdated fencing numbers",
    ).default(defaults.checksFencing)
    private val instant by option(ArgType.Boolean, description = "answer without delay").default(defaults.instant)

    override fun run() {
        val options = EngineOptions(
            model = model,
            memoryTokens = memory.toLong(),
            coldMillis = coldMillis.toLong(),
            coldConcurrency = coldConcurrency,
            prefillTokensPerSecond = prefill.toLong(),
            decodeTokensPerSecond = decode.toLong(),
            checksFencing = checksFencing,
            instant = instant,
        )
        val standIn = EngineStandIn(options).start(listenOptions())
        registerAndWait(standIn = standIn, kind = "engine", serves = model)
    }
}
