import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { ChatRequests } from "../streams/ChatRequests";
import type { RequestRecord } from "../streams/RequestRecord";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Runner } from "../upstreams/Runner";
import type { UpstreamRegistry } from "../upstreams/UpstreamRegistry";
import { planReclaim, type ReclaimedStream } from "./planReclaim";

/** Options of {@link UpstreamReclaim}. */
export interface UpstreamReclaimOptions {
    readonly clock: Clock;
    readonly events: EventLog;
    readonly registry: UpstreamRegistry;
    readonly chatRequests: ChatRequests;
    /** Size of the KV cache, in bytes per token; default 1,024. */
    readonly bytesPerToken?: number;
    /** Share of a runner's link bandwidth that this node may use, in bytes per millisecond; default 20,000. */
    readonly bytesPerMs?: number;
}

const charactersPerToken = 4;
const defaultBytesPerToken = 1_024;
const defaultBytesPerMs = 20_000;
const defaultMaxTokens = 256;

/** Finishes or moves the streams of a leaving runner while recomputing as few tokens as possible. */
export class UpstreamReclaim {
    private readonly scope: TaskScope;

    constructor(private readonly options: UpstreamReclaimOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        this.options.registry.lastLeavingRunner.changes.observe(runner => {
            if (runner?.client.engine && runner.reclaimAtMs !== undefined) {
                this.scope.run(`reclaim-${runner.id}`, () => this.moveStreams(runner));
            }
        }).catch(() => {});
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    private *moveStreams(runner: Runner): Task<void> {
        const records = this.options.chatRequests.listInProgress().filter(record =>
            record.currentAttempt?.runner === runner
        );
        const planned = planReclaim({
            streams: records.map(record => this.toReclaimedStream(record, runner)),
            noticeMs: runner.reclaimAtMs! - this.options.clock.readWallMs(),
            bytesPerToken: this.options.bytesPerToken ?? defaultBytesPerToken,
            bytesPerMs: this.options.bytesPerMs ?? defaultBytesPerMs,
        });
        for (const { requestId, choice } of planned) {
            const record = records.find(candidate => candidate.id === requestId)!;
            const attempt = record.currentAttempt!;
            if (choice === "finish" || record.hasEnded || attempt.runner !== runner) {
                continue;
            }
            const isCacheMoved = choice === "move-cache" && (yield* this.moveCache(record, runner));
            if (!record.hasEnded && record.currentAttempt === attempt) {
                this.options.events.emit(eventKinds.attemptMoved, {
                    requestId,
                    from: runner.id,
                    cache: isCacheMoved,
                });
                attempt.stop({ kind: "moved" });
            }
        }
    }

    /** Moves a request's KV cache to the least loaded usable runner, preferably in a data centre without reclaims. */
    private *moveCache(record: RequestRecord, runner: Runner): Task<boolean> {
        const target = this.pickTarget(record, runner);
        if (!target) {
            return false;
        }
        try {
            const cache = yield* waitFor(runner.client.engine!.exportCache(record.id));
            const isImported = cache !== undefined
                && (yield* waitFor(target.client.engine!.importCache(record.id, cache)));
            if (isImported) {
                record.preferredRunner = target;
            }
            return isImported;
        }
        catch {
            return false;
        }
    }

    private pickTarget(record: RequestRecord, runner: Runner): Runner | undefined {
        const { registry } = this.options;
        const usable = registry.listUsable(record.description.service)
            .filter(candidate => registry.ejections.computeTrafficShare(candidate.id) >= 1);
        const reclaimed = new Set(
            registry.listRunners(record.description.service)
                .filter(candidate => candidate.isLeaving)
                .map(candidate => candidate.vm.dataCentre),
        );
        const elsewhere = usable.filter(candidate => !reclaimed.has(candidate.vm.dataCentre));
        const candidates = elsewhere.length > 0 ? elsewhere : usable;
        const countPlanned = (candidate: Runner): number =>
            this.options.chatRequests.listInProgress().filter(other => other.preferredRunner === candidate)
                .length;
        const readLoad = (candidate: Runner): number =>
            (candidate.estimatedLoad + countPlanned(candidate)) / candidate.slots;
        return candidates.filter(candidate => candidate !== runner)
            .sort((a, b) => readLoad(a) - readLoad(b))[0];
    }

    private toReclaimedStream(record: RequestRecord, runner: Runner): ReclaimedStream {
        const { body } = record.description;
        const maxTokens = (body.max_tokens ?? defaultMaxTokens) as number;
        const producedTokens = record.log.nextOffset;
        const promptTokens = JSON.stringify(body.messages ?? "").length / charactersPerToken;
        const betweenTokensMs = runner.latency.predictBetweenTokensMs(runner.estimatedLoad);
        return {
            requestId: record.id,
            contextTokens: Math.ceil(promptTokens + producedTokens),
            remainingMs: Math.max(1, maxTokens - producedTokens) * betweenTokensMs,
        };
    }
}

/** Name of the upstream reclaim service. */
export const upstreamReclaimName = createServiceName<UpstreamReclaim>("upstream-reclaim");
