package org.bulrushtack.core.settings

/**
 * The definition of one setting of the tree.
 *
 * @property branches the top branches that may hold it; the root may hold it too, unless it is [secret]
 * @property default the value where no branch sets it
 * @property unit the unit of a number, or an empty string
 * @property secret whether it belongs to exactly one branch and is never inherited or shown
 */
public data class SettingSpecification(
    val key: String,
    val type: SettingType,
    val default: String,
    val branches: Set<String>,
    val description: String,
    val unit: String = "",
    val secret: Boolean = false,
)
