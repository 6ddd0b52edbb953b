package sycamorehill.model.serving;

import java.util.Optional;

import sycamorehill.model.identity.TargetName;

/**
 * One change of the directory.
 *
 * @param name the target
 * @param entry what it says now; empty if it left or its entry can't be read
 */
public record TargetChange(TargetName name, Optional<TargetEntry> entry) {
}
