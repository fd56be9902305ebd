package org.bulrushtack.forward.duty

import org.bulrushtack.core.scaling.DataCentreServers
import org.bulrushtack.core.scaling.DemandCollector
import org.bulrushtack.core.scaling.EngineWork
import org.bulrushtack.core.scaling.ScaleOrder
import org.bulrushtack.core.scaling.ScaledService
import org.bulrushtack.core.scaling.ServiceScaler
import org.bulrushtack.forward.wire.DutyCodec
import kotlin.random.Random

/**
 * Orders the servers of the scaled services while this daemon holds the duties. Nothing that it knows outlives the
 * hold: the next holder learns the load from new reports, and the servers from the store.
 */
internal class ScaleTask(
    private val codec: DutyCodec,
    private val fleet: ScaledFleet,
    private val callIntervalMillis: Long,
    private val random: Random,
    private val gauges: ScaleGauges,
    private val log: ScaleLog,
) : DutyTask {
    /** Takes the load reports of all daemons. */
    val collector = DemandCollector(::onWork)
    private val scalers = HashMap<String, ServiceScaler>()
    private var session: DutySession? = null
    private var orderInFlight: ScaleOrder? = null
    private var nextCallAtMillis = 0L

    override fun tick(session: DutySession, nowMillis: Long) {
        if (this.session?.token != session.token) start(session)
        val services = fleet.services
        scalers.keys.retainAll(services.mapTo(HashSet()) { it.name })
        val live = fleet.liveDaemons(nowMillis)
        val heard = collector.heard(nowMillis).count { it in live }
        val unknown = unknownReason(session, heard, live.size, nowMillis)
        log.loadUnknown(unknown, heard = heard, live = live.size)
        services.forEach { service ->
            val servers = fleet.dataCentres(service.name, nowMillis)
            val orders = if (unknown == null) orders(service, servers, nowMillis) else emptyList()
            showNumbers(service.name, servers)
            orders.firstOrNull()?.let { order ->
                if (orderInFlight == null && nowMillis >= nextCallAtMillis) {
                    log.ordered(order, servers.first { it.name == order.dataCentre }, scaler(order), heard, live.size)
                    send(session, order, nowMillis)
                }
            }
        }
    }

    override fun onHoldLost() {
        session = null
        orderInFlight = null
        collector.clear()
        scalers.clear()
        gauges.clear()
    }

    private fun start(started: DutySession) {
        if (session != null) onHoldLost()
        session = started
    }

    /** Work counts once all daemons have had the time to send the report that gives their starting point. */
    private fun onWork(service: String, work: EngineWork, nowMillis: Long) {
        val heldSinceMillis = session?.heldSinceMillis
        if (heldSinceMillis == null || nowMillis - heldSinceMillis < FIRST_REPORTS_MILLIS) return
        scalers.getOrPut(service) { ServiceScaler(service, startedAtMillis = nowMillis) }.addWork(work, nowMillis)
    }

    private fun unknownReason(session: DutySession, heard: Int, live: Int, nowMillis: Long): String? = when {
        nowMillis - session.heldSinceMillis < LEARNING_MILLIS -> "the duties are held for too short a time"
        heard * HEARD_OF < live * HEARD -> "too few daemons report"
        fleet.ageMillis > MAXIMUM_AGE_MILLIS -> "the list of servers is old"
        else -> null
    }

    private fun orders(service: ScaledService, servers: List<DataCentreServers>, nowMillis: Long): List<ScaleOrder> {
        if (servers.none { it.isServing }) log.withoutServers(service.name) else log.withServers(service.name)
        return scalers[service.name]?.orders(
            dataCentres = servers,
            service = service,
            waitingMillis = collector.waitingMillis(service.name, nowMillis),
            nowMillis = nowMillis,
        ).orEmpty()
    }

    private fun scaler(order: ScaleOrder): ServiceScaler = scalers.getValue(order.service)

    private fun send(session: DutySession, order: ScaleOrder, nowMillis: Long) {
        orderInFlight = order
        nextCallAtMillis = nowMillis + callIntervalMillis
        scaler(order).recordSent(order, nowMillis)
        session.call(codec.scale(order.service, order.dataCentre, order.desired)) { result ->
            if (result != DutyCallResult.ACCEPTED) log.notAccepted(order, result)
            if (orderInFlight === order) {
                orderInFlight = null
                val isAccepted = result == DutyCallResult.ACCEPTED
                scalers[order.service]?.recordResult(order, isAccepted, nowMillis, random.nextDouble())
            }
        }
    }

    private fun showNumbers(service: String, servers: List<DataCentreServers>) = servers.forEach {
        val scaler = scalers[service]
        gauges.set(
            service = service,
            dataCentre = it.name,
            desired = scaler?.desired(it.name),
            ready = it.usable,
            billed = maxOf(it.present, scaler?.acknowledged(it.name) ?: 0),
        )
    }
}

/** The time in which each daemon reports often enough to tell the rate of its requests. */
private const val LEARNING_MILLIS = 3_000L

/** Two syncs, by which daemons learn of the holder, and one interval between reports. */
private const val FIRST_REPORTS_MILLIS = 1_300L
private const val MAXIMUM_AGE_MILLIS = 3_000L

/** At least two of three live daemons have to report. */
private const val HEARD = 2
private const val HEARD_OF = 3
