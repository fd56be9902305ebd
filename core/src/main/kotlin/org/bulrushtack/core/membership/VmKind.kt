package org.bulrushtack.core.membership

/** The purpose of a VM in the platform's list. */
public enum class VmKind { ENTRY, ENGINE, SERVICE }
