/** @file once_service.h Readers of the at-most-once partitions that this host owns. */
#ifndef LABURNUMWEIR_CONTROL_ONCE_SERVICE_H
#define LABURNUMWEIR_CONTROL_ONCE_SERVICE_H

#include "control/config_view_base.h"
#include "control/peer_router.h"
#include "log/log_client_base.h"
#include "once/once_reader.h"

#include <map>
#include <memory>

namespace laburnumweir {

/**
 * Runs an OnceReader for each partition that this host owns: reads its stream, appends its records,
 * and answers OnceBegin and OnceReport of all hosts. Control thread only.
 */
class OnceService
  : public ConfigListener
  , public std::enable_shared_from_this<OnceService>
{
public:
  /**
   * @param aRouter routes requests of hosts here.
   * @param aView the agreed state.
   * @param aClock time source.
   * @param aScheduler control thread.
   * @param aLog the log.
   * @param aSettings settings of the readers.
   */
  OnceService(PeerRouter& aRouter,
              const ConfigView& aView,
              const Clock& aClock,
              Scheduler& aScheduler,
              LogClient& aLog,
              const OnceSettings& aSettings);

  /** Starts the timer; call once, after the object is owned by a shared pointer. */
  void Start();
  void OnRecord(const ConfigState& aState) override;
  void OnJump(const ConfigState& aState) override;

private:
  /** A partition that this host owns. */
  struct Partition
  {
    std::uint64_t tenure_ = 0; ///< Distinguishes this reader from earlier ones of this process.
    std::string stream_;       ///< Stream in the log.
    OnceReader reader_;        ///< Decides.
    bool isAppending_ = false; ///< An append is under way.
  };
  using PartitionPointer = std::shared_ptr<Partition>;

  /** A request of a host that is not answered yet. */
  struct Waiting
  {
    std::uint32_t partition_ = 0;      ///< Partition that decides.
    PeerTransport::Responder respond_; ///< Answers it.
  };
  using WaitingMap = std::map<AttemptId, Waiting>;

  void ServeBegin(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond);
  void ServeReport(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond);
  PartitionPointer Find(const OnceKey& aKey) const;
  bool IsCurrent(const PartitionPointer& aPartition) const;
  void Tick();
  void DropPartition(std::uint32_t aNumber);
  void Read(const PartitionPointer& aPartition);
  void Append(const PartitionPointer& aPartition);
  void AppendSoon(const PartitionPointer& aPartition);
  void Deliver(const OnceOutput& aOutput);

  PeerRouter& router_;                                   ///< Routes requests.
  const ConfigView& view_;                               ///< The agreed state.
  const Clock& clock_;                                   ///< Time source.
  Scheduler& scheduler_;                                 ///< Control thread.
  LogClient& log_;                                       ///< The log.
  OnceSettings settings_;                                ///< Settings.
  std::uint64_t tenures_ = 0;                            ///< Number of readers made.
  std::string process_;                                  ///< Random name of this process's life.
  std::map<std::uint32_t, PartitionPointer> partitions_; ///< Owned partitions.
  WaitingMap begins_;                                    ///< Open requests for a decision.
  WaitingMap reports_;                                   ///< Open requests to store an end.
};

} // namespace laburnumweir

#endif
