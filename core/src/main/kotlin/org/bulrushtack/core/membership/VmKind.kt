package org.bulrushtack.core.membership

/** What a VM of the platform's list is for. */
public enum class VmKind { ENTRY, ENGINE, SERVICE }
