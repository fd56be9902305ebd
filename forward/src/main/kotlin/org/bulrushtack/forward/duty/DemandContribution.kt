package org.bulrushtack.forward.duty

import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.PromptShape
import org.bulrushtack.core.scaling.DemandCollector
import org.bulrushtack.core.scaling.DemandTotals
import org.bulrushtack.core.scaling.EngineWork
import org.bulrushtack.core.scaling.RequestWork
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.protocol.LoadReport
import org.bulrushtack.protocol.ServiceDemand

/** Reports the work for the services whose servers are ordered; passes the reports of all daemons to [collector]. */
internal class DemandContribution(
    private val state: ForwardState,
    private val collector: DemandCollector,
) : LoadContribution,
    DemandRecorder {
    private val arrived = HashMap<String, Arrived>()
    private val waiting = HashMap<String, Waiting>()

    override fun recordArrival(service: String, shape: PromptShape, tokenGapMillis: Long) {
        val work = work(service, shape, tokenGapMillis) ?: return
        val counts = arrived.getOrPut(service) { Arrived() }
        if (work.long > 0) counts.longRequests += 1 else counts.shortRequests += 1
        counts.work += work
    }

    override fun startWaiting(request: PlacementRequest) {
        val work = work(request.service, request.shape, request.tokenGapMillis) ?: return
        waiting[request.id] = Waiting(service = request.service, millis = work.total)
    }

    override fun stopWaiting(placementId: String) {
        waiting.remove(placementId)
    }

    override fun addTo(report: LoadReport.Builder) {
        val waitingMillis = waiting.values.groupingBy { it.service }.fold(0.0) { sum, each -> sum + each.millis }
        scaledServices().forEach { service ->
            val counts = arrived[service] ?: Arrived()
            report.addDemands(
                ServiceDemand.newBuilder()
                    .setService(service)
                    .setShortRequests(counts.shortRequests)
                    .setLongRequests(counts.longRequests)
                    .setShortMillis(counts.work.short)
                    .setLongMillis(counts.work.long)
                    .setWaitingMillis(waitingMillis[service] ?: 0.0),
            )
        }
    }

    override fun receive(report: LoadReport, nowMillis: Long) {
        val scaled = scaledServices().toSet()
        val totals = report.demandsList.filter { it.service in scaled }.associate { demand ->
            demand.service to DemandTotals(
                shortRequests = demand.shortRequests,
                longRequests = demand.longRequests,
                work = EngineWork(short = demand.shortMillis, long = demand.longMillis),
                waitingMillis = demand.waitingMillis,
            )
        }
        collector.receive(report.daemon, report.incarnation, totals, nowMillis)
    }

    private fun scaledServices(): List<String> =
        state.routing?.configuration?.services.orEmpty().filter { it.scale != null }.map { it.name }

    private fun work(service: String, shape: PromptShape, tokenGapMillis: Long): EngineWork? {
        val profile = state.routing?.service(service)?.takeIf { it.scale != null }?.engine
        return profile?.let { RequestWork.of(shape, tokenGapMillis, it) }
    }

    private class Arrived {
        var shortRequests = 0L
        var longRequests = 0L
        var work = EngineWork.NONE
    }

    private data class Waiting(
        val service: String,
        val millis: Double,
    )
}
