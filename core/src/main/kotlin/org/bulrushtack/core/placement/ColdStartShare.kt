package org.bulrushtack.core.placement

/** Decides which part of a cold server's rate one daemon may use. */
public interface ColdStartShare {
    /** The requests a second that this daemon may send to the cold server [id], which can handle [perSecond]. */
    public fun requests(id: String, perSecond: Double): Int
}
