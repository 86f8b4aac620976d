/** Messages between entry hosts. The package of each concept declares its own messages. */
package org.lentilhinge.message;
