package org.bulrushtack.daemon.operator

import arrow.core.Either
import arrow.core.flatMap
import com.fasterxml.jackson.module.kotlin.readValue
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.settings.SettingChange
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.core.settings.SettingsTree
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.front.Json
import org.bulrushtack.daemon.front.RequestAuthorizer
import org.bulrushtack.http.HttpExchange

/** Shows and edits the settings tree at `/v1/operator/tree`. */
internal class TreeResource(
    private val authorizer: RequestAuthorizer,
    private val control: ControlThread,
    private val editor: TreeEditor,
) {
    /** Shows one branch: each value with its source, and the branches below. */
    fun show(exchange: HttpExchange, requestId: String) = authorizer.requireOperator(exchange, requestId) {
        SettingsPath.parse(exchange.request.query["path"].orEmpty()).fold(
            ifLeft = { authorizer.refuse(exchange, Problem(ErrorKind.EDIT_INVALID, it), requestId) },
            ifRight = { exchange.respond(Json.response(status = 200, value = branch(it))) },
        )
    }

    /** Shows every value that is set, for export. */
    fun export(exchange: HttpExchange, requestId: String) = authorizer.requireOperator(exchange, requestId) {
        val rows = control.snapshot.tree.values
            .filter { (_, value) -> value.value != null }
            .map { (address, value) -> ExportRow(address.path.toString(), address.key, value.value, value.version) }
            .sortedWith(compareBy({ it.path }, { it.key }))
        exchange.respond(Json.response(status = 200, value = ExportAnswer(values = rows)))
    }

    /** Makes an edit or, in a dry run, shows what it would change. */
    fun edit(exchange: HttpExchange, requestId: String) = authorizer.requireOperator(exchange, requestId) { operator ->
        val tree = control.snapshot.tree
        val request = Either.catch { Json.mapper.readValue<TreeEditRequest>(exchange.request.body) }
            .mapLeft { Problem(ErrorKind.MALFORMED_REQUEST, "The body is not an edit: ${it.message}") }
        val checked = request.flatMap { editor.check(request = it, tree = tree) }
        checked.fold(
            ifLeft = { authorizer.refuse(exchange, it, requestId) },
            ifRight = { changes ->
                val dryRun = request.getOrNull()?.dryRun ?: false
                if (dryRun) preview(exchange, tree, changes) else append(exchange, requestId, operator, tree, changes)
            },
        )
    }

    private fun preview(exchange: HttpExchange, tree: SettingsTree, changes: List<SettingChange>) {
        val answer = EditAnswer(
            accepted = false,
            dryRun = true,
            changes = changeRows(tree = tree, changes = changes),
            conflicts = tree.conflicts(changes).map { it.toString() },
        )
        exchange.respond(Json.response(status = 200, value = answer))
    }

    private fun append(
        exchange: HttpExchange,
        requestId: String,
        operator: String,
        tree: SettingsTree,
        changes: List<SettingChange>,
    ) {
        editor.edit(operator = operator, changes = changes).thenAccept { outcome ->
            outcome.fold(
                ifLeft = { authorizer.refuse(exchange, it, requestId) },
                ifRight = { result ->
                    val answer = EditAnswer(
                        accepted = true,
                        dryRun = false,
                        changes = changeRows(tree = tree, changes = changes),
                        offset = result.offset,
                        behind = result.behind,
                        inForceMillis = result.waitedMillis,
                    )
                    exchange.respond(Json.response(status = 200, value = answer))
                },
            )
        }
    }

    private fun changeRows(tree: SettingsTree, changes: List<SettingChange>): List<ChangeRow> = changes.map { change ->
        val path = change.address.path
        val key = change.address.key
        val after = tree.apply(changes = changes, version = 0).resolve(path, key).value
        ChangeRow(
            path = path.toString(),
            key = key,
            before = displayValue(key = key, value = tree.resolve(path, key).value),
            after = displayValue(key = key, value = after),
            version = change.expectedVersion,
        )
    }

    private fun branch(path: SettingsPath): BranchAnswer {
        val tree = control.snapshot.tree
        val top = path.segments.firstOrNull()
        val settings = SettingsSchema.specifications
            .filter { top == null || top in it.branches }
            .map { specification ->
                val resolved = tree.resolve(path, specification.key)
                SettingRow(
                    key = specification.key,
                    value = displayValue(key = specification.key, value = resolved.value),
                    unit = specification.unit,
                    source = resolved.source?.toString() ?: "default",
                    version = tree.values.entries
                        .firstOrNull { it.key.path == path && it.key.key == specification.key }?.value?.version ?: 0,
                )
            }
        return BranchAnswer(path = path.toString(), settings = settings, children = tree.children(path))
    }

    private fun displayValue(key: String, value: String): String {
        val secret = SettingsSchema.specification(key)?.secret ?: false
        return if (secret && value.isNotEmpty()) "(hidden)" else value
    }

    private data class BranchAnswer(
        val path: String,
        val settings: List<SettingRow>,
        val children: List<String>,
    )

    private data class SettingRow(
        val key: String,
        val value: String,
        val unit: String,
        val source: String,
        val version: Long,
    )

    private data class ExportAnswer(
        val values: List<ExportRow>,
    )

    private data class ExportRow(
        val path: String,
        val key: String,
        val value: String?,
        val version: Long,
    )

    private data class EditAnswer(
        val accepted: Boolean,
        val dryRun: Boolean,
        val changes: List<ChangeRow>,
        val conflicts: List<String> = emptyList(),
        val offset: Long? = null,
        val behind: List<String> = emptyList(),
        val inForceMillis: Long? = null,
    )

    private data class ChangeRow(
        val path: String,
        val key: String,
        val before: String,
        val after: String,
        val version: Long,
    )
}
