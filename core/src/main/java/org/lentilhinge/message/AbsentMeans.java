package org.lentilhinge.message;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * States what a number in a message means if its sender is of a build that does not know it. A
 * component that was added to a message later has this annotation unless the default of its type
 * means that nothing is stated.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface AbsentMeans {

  /**
   * Returns the meaning.
   *
   * @return the value that stands for an absent component
   */
  double value();
}
