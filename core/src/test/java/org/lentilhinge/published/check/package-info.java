/** Tests of the checks of a published configuration. */
package org.lentilhinge.published.check;
