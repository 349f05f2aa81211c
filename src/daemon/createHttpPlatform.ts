import { HttpCloud } from "../platform/HttpCloud";
import { HttpObjectStore } from "../platform/HttpObjectStore";
import { HttpTableService } from "../platform/HttpTableService";
import { HttpWeightStore } from "../platform/HttpWeightStore";
import type { Settings } from "../settings/settingsSchema";
import { AnswerMemory } from "../upstreams/AnswerMemory";
import { HttpEngineClient } from "../upstreams/HttpEngineClient";
import { HttpPlainClient } from "../upstreams/HttpPlainClient";
import type { EntryPlatform } from "./types";

const upstreamTimeoutMs = 2_000;

/**
 * Creates the HTTP adapters to the platform and the upstreams.
 *
 * @param settings - a node's settings
 * @returns the adapters
 */
export const createHttpPlatform = (settings: Settings): EntryPlatform => {
    const timeoutMs = settings.timing.storeTimeoutMs;
    const tables = new HttpTableService({ url: settings.platform.tables, timeoutMs });
    const objects = new HttpObjectStore({ url: settings.platform.objects, timeoutMs });
    const cloud = new HttpCloud({ url: settings.platform.cloud, timeoutMs });
    const weights = settings.platform.weights === undefined
        ? undefined
        : new HttpWeightStore({ url: settings.platform.weights, timeoutMs });
    const memory = new AnswerMemory();
    return {
        weights,
        tables,
        objects,
        cloud,
        upstreams: {
            createEngineClient: vm => new HttpEngineClient({ url: vm.url, timeoutMs: upstreamTimeoutMs }),
            createPlainClient: vm =>
                new HttpPlainClient({ url: vm.url, connectTimeoutMs: upstreamTimeoutMs, memory }),
        },
        close: async () => {
            await Promise.all([tables.close(), objects.close(), cloud.close(), weights?.close()]);
        },
    };
};
