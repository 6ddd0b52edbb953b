package sycamorehill.model.group;

/**
 * What the VM list says.
 */
public enum VmStatus {

	/** The VM is there. */
	LIVE,

	/** The VM will go: it gets no new work. */
	LEAVING

}
