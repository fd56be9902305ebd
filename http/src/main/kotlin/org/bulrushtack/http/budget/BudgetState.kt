package org.bulrushtack.http.budget

/** What the parts of a budget share. All access is under [lock]. */
internal class BudgetState(
    private val currentLimits: () -> BudgetLimits,
    private val onAction: (BudgetAction) -> Unit,
    private val nanoTime: () -> Long,
) {
    val lock = Any()
    val accounts = LinkedHashSet<ConnectionAccount>()
    val victims = VictimSelector(currentLimits)
    val limits: BudgetLimits get() = currentLimits()
    val nowNanos: Long get() = nanoTime()

    fun report(kind: BudgetAction.Kind, account: ConnectionAccount) =
        onAction(BudgetAction(kind, account.role, account.address, account.heldBytes))
}
