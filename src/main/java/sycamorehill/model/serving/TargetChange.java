package sycamorehill.model.serving;

import java.util.Optional;

import sycamorehill.model.identity.TargetName;

/**
 * One change in the directory of targets.
 *
 * @param name the target
 * @param entry its new entry; empty if it left or the entry can't be read
 */
public record TargetChange(TargetName name, Optional<TargetEntry> entry) {
}
