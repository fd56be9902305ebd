package org.bulrushtack.core.membership

/** What the platform's list says of a VM; it lags, so it is a hint. */
public enum class VmState { LIVE, LEAVING }
