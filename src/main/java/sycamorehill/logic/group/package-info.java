/**
 * Forms, repairs and drains the groups of VMs that serve a model.
 */
package sycamorehill.logic.group;
