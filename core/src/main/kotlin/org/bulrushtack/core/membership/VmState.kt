package org.bulrushtack.core.membership

/** The state of a VM in the platform's list. The list lags, so the state is only a hint. */
public enum class VmState { LIVE, LEAVING }
