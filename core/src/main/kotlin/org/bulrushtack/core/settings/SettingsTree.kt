package org.bulrushtack.core.settings

/** An immutable tree of settings; applying an edit returns a new tree. */
public data class SettingsTree(
    val values: Map<SettingAddress, SettingValue> = emptyMap(),
) {
    private val branchesByKeyHash: Map<String, SettingsPath> by lazy { indexKeyHashes() }

    /** The version of a setting; 0 when it was never set. */
    public fun version(address: SettingAddress): Long = values[address]?.version ?: 0

    /** The effective value of [key] at [path]: the branch's own, else the nearest ancestor's, else the default. */
    public fun resolve(path: SettingsPath, key: String): ResolvedSetting {
        var branch: SettingsPath? = path
        while (branch != null) {
            val value = values[SettingAddress(path = branch, key = key)]?.value
            if (value != null) return ResolvedSetting(key = key, value = value, source = branch)
            branch = branch.parent
        }
        val default = SettingsSchema.specification(key)?.default.orEmpty()
        return ResolvedSetting(key = key, value = default, source = null)
    }

    /** The effective value as a number; the schema validated it before the edit. */
    public fun number(path: SettingsPath, key: String): Long =
        resolve(path, key).value.toLongOrNull() ?: SettingsSchema.specification(key)?.default?.toLongOrNull() ?: 0

    /** The effective value as a list. */
    public fun list(path: SettingsPath, key: String): List<String> = SettingType.splitList(resolve(path, key).value)

    /** The names of the branches directly below [path], in order. */
    public fun children(path: SettingsPath): List<String> = values
        .filter { (address, value) -> value.value != null && isDescendant(address.path, path) }
        .map { (address, _) -> address.path.segments[path.segments.size] }
        .distinct()
        .sorted()

    /** The branch whose `key-hashes` contains [hash], or null. */
    public fun branchOfKeyHash(hash: String): SettingsPath? = branchesByKeyHash[hash]

    /** The changes that don't match the versions of this tree; an empty list when the edit may be applied. */
    public fun conflicts(changes: List<SettingChange>): List<SettingAddress> =
        changes.filter { version(it.address) != it.expectedVersion }.map { it.address }

    /** Returns the tree after [changes], whose settings get [version]. */
    public fun apply(changes: List<SettingChange>, version: Long): SettingsTree =
        SettingsTree(values = values + changes.map { it.address to SettingValue(value = it.value, version = version) })

    private fun isDescendant(path: SettingsPath, ancestor: SettingsPath): Boolean =
        path.segments.size > ancestor.segments.size && path.segments.take(ancestor.segments.size) == ancestor.segments

    private fun indexKeyHashes(): Map<String, SettingsPath> = values
        .filterKeys { it.key == SettingsSchema.KEY_HASHES }
        .flatMap { (address, value) -> SettingType.splitList(value.value.orEmpty()).map { it to address.path } }
        .toMap()
}
