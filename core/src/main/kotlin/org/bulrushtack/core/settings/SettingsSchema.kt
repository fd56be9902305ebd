package org.bulrushtack.core.settings

import org.bulrushtack.core.settings.SettingType.Choice
import org.bulrushtack.core.settings.SettingType.KeyHashes
import org.bulrushtack.core.settings.SettingType.Names
import org.bulrushtack.core.settings.SettingType.WholeNumber

/** Defines all settings that the tree may hold, and validates edits against them. */
public object SettingsSchema {
    public const val WORKSPACES: String = "workspaces"
    public const val SERVICES: String = "services"
    public const val DATA_CENTRES: String = "data-centres"
    public const val BACKEND_SERVERS: String = "backend-servers"
    public const val OPERATORS: String = "operators"

    public const val KEY_HASHES: String = "key-hashes"
    public const val MAX_RUNNING: String = "max-running"
    public const val DEADLINE_SECONDS: String = "deadline-seconds"
    public const val REPEATABLE_OPERATIONS: String = "repeatable-operations"
    public const val STATE: String = "state"
    public const val COLD_CONCURRENCY: String = "cold-concurrency"
    public const val WARM_CONCURRENCY: String = "warm-concurrency"
    public const val RAMP_SECONDS: String = "ramp-seconds"
    public const val FENCING: String = "fencing"
    public const val LONG_SHARE_PERCENT: String = "long-share-percent"
    public const val LONG_TOKENS: String = "long-tokens"
    public const val PREFILL_TOKENS_PER_SECOND: String = "prefill-tokens-per-second"
    public const val DECODE_TOKENS_PER_SECOND: String = "decode-tokens-per-second"
    public const val ENTRY_KEEP_SECONDS: String = "entry-keep-seconds"

    public const val STATE_IN: String = "in"
    public const val STATE_OUT: String = "out"
    public const val FENCING_CHECKED: String = "checked"
    public const val FENCING_IGNORED: String = "ignored"

    /** The top branches of the tree. */
    public val topBranches: Set<String> = setOf(WORKSPACES, SERVICES, DATA_CENTRES, BACKEND_SERVERS, OPERATORS)

    /** The specifications, in the order in which they are listed to operators. */
    public val specifications: List<SettingSpecification> = listOf(
        SettingSpecification(
            key = ENTRY_KEEP_SECONDS,
            type = WholeNumber(minimum = 1, maximum = 300),
            default = "10",
            branches = emptySet(),
            description = "how long a caller keeps the answer of /v1/entry",
            unit = "s",
        ),
        SettingSpecification(
            key = KEY_HASHES,
            type = KeyHashes,
            default = "",
            branches = setOf(WORKSPACES, OPERATORS),
            description = "hashes of the keys that this workspace or operator uses",
            secret = true,
        ),
        SettingSpecification(
            key = MAX_RUNNING,
            type = WholeNumber(minimum = 1, maximum = 100_000),
            default = "500",
            branches = setOf(WORKSPACES),
            description = "most requests of one workspace that one daemon holds at once",
        ),
        SettingSpecification(
            key = DEADLINE_SECONDS,
            type = WholeNumber(minimum = 1, maximum = 3_600),
            default = "120",
            branches = setOf(WORKSPACES, SERVICES),
            description = "deadline of a request that names none",
            unit = "s",
        ),
        SettingSpecification(
            key = REPEATABLE_OPERATIONS,
            type = Names,
            default = "",
            branches = setOf(SERVICES),
            description = "operations that may run more than once",
        ),
        SettingSpecification(
            key = STATE,
            type = Choice(values = listOf(STATE_IN, STATE_OUT)),
            default = STATE_IN,
            branches = setOf(DATA_CENTRES, BACKEND_SERVERS),
            description = "whether new work is sent there",
        ),
        SettingSpecification(
            key = COLD_CONCURRENCY,
            type = WholeNumber(minimum = 1, maximum = 10_000),
            default = "2",
            branches = setOf(BACKEND_SERVERS),
            description = "most requests at once in cold start",
        ),
        SettingSpecification(
            key = WARM_CONCURRENCY,
            type = WholeNumber(minimum = 1, maximum = 10_000),
            default = "64",
            branches = setOf(BACKEND_SERVERS),
            description = "most requests at once after the ramp",
        ),
        SettingSpecification(
            key = RAMP_SECONDS,
            type = WholeNumber(minimum = 0, maximum = 3_600),
            default = "30",
            branches = setOf(BACKEND_SERVERS),
            description = "time from the end of cold start to full load",
            unit = "s",
        ),
        SettingSpecification(
            key = FENCING,
            type = Choice(values = listOf(FENCING_CHECKED, FENCING_IGNORED)),
            default = FENCING_IGNORED,
            branches = setOf(BACKEND_SERVERS),
            description = "whether the server refuses an order with an old fencing number",
        ),
        SettingSpecification(
            key = LONG_TOKENS,
            type = WholeNumber(minimum = 1_000, maximum = 10_000_000),
            default = "32000",
            branches = setOf(BACKEND_SERVERS),
            description = "requests that reserve more than this are long",
            unit = "tokens",
        ),
        SettingSpecification(
            key = LONG_SHARE_PERCENT,
            type = WholeNumber(minimum = 1, maximum = 100),
            default = "70",
            branches = setOf(BACKEND_SERVERS),
            description = "share of engine memory that long requests may hold",
            unit = "%",
        ),
        SettingSpecification(
            key = PREFILL_TOKENS_PER_SECOND,
            type = WholeNumber(minimum = 1, maximum = 100_000_000),
            default = "40000",
            branches = setOf(BACKEND_SERVERS),
            description = "expected speed of reading a prompt",
            unit = "tokens/s",
        ),
        SettingSpecification(
            key = DECODE_TOKENS_PER_SECOND,
            type = WholeNumber(minimum = 1, maximum = 1_000_000),
            default = "40",
            branches = setOf(BACKEND_SERVERS),
            description = "expected speed of one answer",
            unit = "tokens/s",
        ),
    )

    private val byKey = specifications.associateBy { it.key }

    /** The specification of [key], or null when there is no such setting. */
    public fun specification(key: String): SettingSpecification? = byKey[key]

    /** Returns what is wrong with setting [key] at [path] to [value] (null removes it), or null when it is valid. */
    public fun validationError(path: SettingsPath, key: String, value: String?): String? {
        val specification = specification(key) ?: return "unknown setting '$key'; ${nearestKeyHint(key)}"
        return branchError(path, specification) ?: value?.let { specification.type.validationError(it) }
    }

    /** The hint at the known key that is nearest to [key], for error messages. */
    public fun nearestKeyHint(key: String): String = "the nearest is '${NearestName.find(key, byKey.keys)}'"

    private fun branchError(path: SettingsPath, specification: SettingSpecification): String? {
        val top = path.segments.firstOrNull()
        return when {
            top != null && top !in topBranches -> "unknown branch '$top'"
            path.segments.size > MAXIMUM_DEPTH -> "the path is deeper than $MAXIMUM_DEPTH branches"
            specification.secret && path.segments.size < NAMED_BRANCH_DEPTH ->
                "'${specification.key}' can't be inherited"
            top != null && top !in specification.branches -> "'${specification.key}' has no meaning below '$top'"
            else -> null
        }
    }
}

private const val MAXIMUM_DEPTH = 8
private const val NAMED_BRANCH_DEPTH = 2
