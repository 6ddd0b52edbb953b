package sycamorehill.model.group;

/**
 * The status of a VM in the VM list.
 */
public enum VmStatus {

	/** The VM is in service. */
	LIVE,

	/** The VM is about to leave: it is assigned no further requests or groups. */
	LEAVING

}
