import { type CallerContext } from "../callers/CallerContext";
import { callerServerName } from "../callers/CallerServer";
import { replicatedConfigurationName } from "../configuration/ReplicatedConfiguration";
import { plainCallsName } from "../idempotency/PlainCalls";
import { HeldBytes } from "../http/HeldBytes";
import { Kernel } from "../kernel/Kernel";
import { runTask } from "../kernel/runTask";
import { membershipName } from "../membership/Membership";
import { ClusterReportCollector } from "../operators/ClusterReportCollector";
import { OperatorApi } from "../operators/OperatorApi";
import { peerNetworkName } from "../peers/PeerNetwork";
import { entryReclaimName } from "../reclaim/EntryReclaim";
import { plannedStopName } from "../stopping/PlannedStop";
import { chatRequestsName } from "../streams/ChatRequests";
import { keptRequestsName } from "../streams/KeptRequests";
import { requestLocatorName } from "../streams/RequestLocator";
import { serviceDispatchersName } from "../streams/ServiceDispatchers";
import { eventLogName } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { entryMetricsName } from "../telemetry/EntryMetrics";
import { upstreamRegistryName } from "../upstreams/UpstreamRegistry";
import { configurationStoreName, invariantsName, registerEntryServices } from "./registerEntryServices";
import { registerEntryGauges } from "./registerEntryGauges";
import type { EntryNodeOptions } from "./types";

const drainPollMs = 20;
const goneFlushMs = 50; // time for sending the last announcement before the links close
const stallTimeoutMs = 30_000;

/** An entry node: creates its services and runs them until a graceful shutdown. */
export class EntryNode {
    readonly kernel = new Kernel();
    /** What callers make the process hold. */
    readonly heldBytes: HeldBytes;

    constructor(private readonly options: EntryNodeOptions) {
        const { clock, settings } = options;
        this.heldBytes = new HeldBytes({ maxBytes: settings.limits.maxHeldBytes, clock });
        registerEntryServices(this.kernel, options);
    }

    get nodeId(): string {
        return this.options.settings.nodeId;
    }

    /** Base URL for callers and operators; available after {@link start}. */
    get callersUrl(): string {
        return `http://${this.options.settings.callers.host}:${this.kernel.find(callerServerName).port}`;
    }

    /** Web-socket URL for other members; available after {@link start}. */
    get peersUrl(): string {
        return `ws://${this.options.settings.peers.host}:${this.kernel.find(peerNetworkName).port}`;
    }

    /** Counts the members to which this node has an open link. */
    countLinkedMembers(): number {
        return this.kernel.find(peerNetworkName).linkedNodeIds.length;
    }

    /** Counts the live members that this node knows, itself included. */
    countMembers(): number {
        return this.kernel.find(membershipName).listLive().length;
    }

    /** Counts the usable runners of a service that this node knows. */
    countRunners(service: string): number {
        return this.kernel.find(upstreamRegistryName).listUsable(service).length;
    }

    /** Starts all services. Requests are accepted once the promise has resolved. */
    async start(): Promise<void> {
        await this.kernel.start();
        const context = this.createContext();
        const operators = this.createOperatorApi();
        registerEntryGauges(this.kernel.find);
        this.kernel.find(callerServerName).setContext(context, exchange => operators.handle(exchange));
        this.kernel.find(eventLogName).emit(eventKinds.nodeStarted, {
            callers: this.callersUrl,
            peers: this.peersUrl,
        });
    }

    /**
     * Shuts down gracefully: accepts no new work, waits up to `drainMs` for the requests in progress, hands the
     * remaining chat requests over to other nodes, answers the remaining calls with a failure, and stops.
     */
    async stop(): Promise<void> {
        const events = this.kernel.find(eventLogName);
        const { clock, settings } = this.options;
        events.emit(eventKinds.nodeStopping);
        this.kernel.find(plannedStopName).begin(settings.timing.drainMs);
        this.kernel.find(membershipName).announceLeaving();
        const deadlineMs = clock.readMonotonicMs() + settings.timing.drainMs;
        while (!this.isDrained() && clock.readMonotonicMs() < deadlineMs) {
            await clock.sleep(drainPollMs);
        }
        const reclaim = this.kernel.find(entryReclaimName);
        await runTask(() => reclaim.handOverAll(), { name: "hand-over" }).done;
        this.kernel.find(membershipName).announceGone();
        await clock.sleep(goneFlushMs);
        await this.kernel.stop();
        await this.options.platform.close();
        events.emit(eventKinds.nodeStopped);
    }

    /** Stops without draining, like a process that crashes. For failure tests. */
    async kill(): Promise<void> {
        await this.kernel.stop();
        await this.options.platform.close();
    }

    private isDrained(): boolean {
        return this.kernel.find(chatRequestsName).listInProgress().length === 0
            && this.kernel.find(plainCallsName).inFlightCount === 0
            && this.kernel.find(callerServerName).openExchanges === 0;
    }

    private createContext(): CallerContext {
        const { settings, clock, random } = this.options;
        const { find } = this.kernel;
        return {
            nodeId: settings.nodeId,
            clock,
            random,
            events: find(eventLogName),
            metrics: find(entryMetricsName),
            configuration: find(replicatedConfigurationName),
            membership: find(membershipName),
            registry: find(upstreamRegistryName),
            chatRequests: find(chatRequestsName),
            keptRequests: find(keptRequestsName),
            locator: find(requestLocatorName),
            plainCalls: find(plainCallsName),
            maxBodyBytes: settings.limits.maxBodyBytes,
            heldBytes: this.heldBytes,
            entriesValidMs: settings.timing.entriesValidMs,
            stallTimeoutMs,
            disconnectSignal: find(entryReclaimName).disconnectSignal,
        };
    }

    private createOperatorApi(): OperatorApi {
        const { settings, clock } = this.options;
        const { find } = this.kernel;
        const reports = new ClusterReportCollector({
            nodeId: settings.nodeId,
            clock,
            events: find(eventLogName),
            invariants: find(invariantsName),
            network: find(peerNetworkName),
            membership: find(membershipName),
            configuration: find(replicatedConfigurationName),
            registry: find(upstreamRegistryName),
            chatRequests: find(chatRequestsName),
            dispatchers: find(serviceDispatchersName),
        });
        return new OperatorApi({
            tokenHashes: settings.operatorTokenHashes,
            maxBodyBytes: settings.limits.maxBodyBytes,
            heldBytes: this.heldBytes,
            configuration: find(replicatedConfigurationName),
            store: find(configurationStoreName),
            membership: find(membershipName),
            reports,
        });
    }
}
