package org.bulrushtack.forward.duty

import org.bulrushtack.core.scaling.DataCentreServers
import org.bulrushtack.core.scaling.ScaleOrder
import org.bulrushtack.core.scaling.ServiceScaler
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/** The log lines about orders of servers. */
internal class ScaleLog(
    private val log: EventLog,
) {
    private val reported = HashSet<String>()
    private var unknown: String? = null

    /** Logs that no orders are sent because of [reason], or that they are again where it is null; only changes. */
    fun loadUnknown(reason: String?, heard: Int, live: Int) {
        if (reason == unknown) return
        unknown = reason
        val fields = listOf(LogField("reason", reason), LogField("heard", heard), LogField("live", live))
        log.info(if (reason == null) "The load is known." else "The load is not known; no servers are ordered.", fields)
    }

    /** Logs an order with what it went by. */
    fun ordered(order: ScaleOrder, servers: DataCentreServers, scaler: ServiceScaler, heard: Int, live: Int) {
        val number = scaler.lastNumber
        val load = scaler.lastLoad
        val fields = listOf(
            LogField("service", order.service),
            LogField("data_centre", order.dataCentre),
            LogField("desired", order.desired),
            LogField("acknowledged", scaler.acknowledged(order.dataCentre)),
            LogField("ready", servers.usable),
            LogField("present", servers.present),
            LogField("total", number?.total),
            LogField("demand", number?.demand?.rounded()),
            LogField("waiting", number?.waiting?.rounded()),
            LogField("reserve", number?.reserve?.rounded()),
            LogField("floor", number?.floor),
            LogField("recent_short", load?.recent?.short?.rounded()),
            LogField("recent_long", load?.recent?.long?.rounded()),
            LogField("usual_short", load?.usual?.short?.rounded()),
            LogField("usual_long", load?.usual?.long?.rounded()),
            LogField("heard", heard),
            LogField("live", live),
        )
        when (order.reason) {
            ScaleOrder.Reason.CHANGED -> log.info("Servers are ordered.", fields)
            ScaleOrder.Reason.NOT_CARRIED_OUT ->
                log.warn("The list of servers does not show what was ordered; the order is sent again.", fields)
        }
    }

    /** Logs that [order] was not accepted. */
    fun notAccepted(order: ScaleOrder, result: DutyCallResult) = log.warn(
        "An order of servers was not accepted.",
        LogField("service", order.service),
        LogField("data_centre", order.dataCentre),
        LogField("desired", order.desired),
        LogField("result", result.name.lowercase()),
    )

    /** Logs once that [service] has no servers that could be ordered. */
    fun withoutServers(service: String) {
        if (!reported.add(service)) return
        log.warn("A service has no usable servers; none are ordered for it.", LogField("service", service))
    }

    /** Logs again, if [service] loses its servers, that it has none. */
    fun withServers(service: String) {
        reported.remove(service)
    }
}

private fun Double.rounded(): Double = Math.round(this * TENTHS) / TENTHS

private const val TENTHS = 10.0
