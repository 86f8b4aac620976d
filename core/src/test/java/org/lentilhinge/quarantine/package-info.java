/** Tests of the quarantine of prompts that crash engines. */
package org.lentilhinge.quarantine;
