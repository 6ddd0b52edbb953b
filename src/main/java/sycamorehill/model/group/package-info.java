/**
 * Model groups, the allocation of VMs to groups and the observed state of VMs.
 */
package sycamorehill.model.group;
