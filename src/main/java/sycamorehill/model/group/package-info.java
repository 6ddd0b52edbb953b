/**
 * Model groups, the allocation of VMs and what is seen of them.
 */
package sycamorehill.model.group;
