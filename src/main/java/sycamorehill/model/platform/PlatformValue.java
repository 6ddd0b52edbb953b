package sycamorehill.model.platform;

/**
 * Value that can be stored in the platform. Each implementation belongs to one
 * {@link ObjectKind}.
 */
public interface PlatformValue {

}
