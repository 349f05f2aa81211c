import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/**
 * Measures by how much the heap has grown after a step, counting only what can be reached still.
 *
 * @param step - what may keep objects in memory
 * @returns growth of the heap, in bytes
 */
export const measureHeldHeap = async (step: () => void | Promise<void>): Promise<number> => {
    setFlagsFromString("--expose-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    await step();
    collectGarbage();
    return process.memoryUsage().heapUsed - before;
};
