import { servingStateName } from "../../src/routes/ServingState";
import type { TestNode } from "./ServingTestbed";

/**
 * Reads the version of the configuration that is in force at a node.
 *
 * @param node - the node
 * @returns the version; 0 before the first one is read
 */
export const readConfigurationVersion = ({ node }: Pick<TestNode, "node">): number =>
    node.kernel.find(servingStateName).table.value?.configuration.version ?? 0;
