package sycamorehill.standin;

import sycamorehill.model.platform.PlatformValue;

/**
 * A value kept as the text that was sent: the stand-in does not look into it.
 *
 * @param json the value's JSON
 */
public record RawValue(String json) implements PlatformValue {

}
