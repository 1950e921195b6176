/** @file host_registration.cpp Makes this host known to the others, and them to it, through the
 * store.
 */
#include "gateway/host_registration.h"

#include "logging/logging_func.h"

namespace laburnumweir {

namespace {

/** Time after which a failed call is repeated. */
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

} // namespace

HostRegistration::HostRegistration(FleetStore& aStore,
                                   Scheduler& aScheduler,
                                   HostRecord aSelf,
                                   RecordsFunction aOnRecords)
  : store_(aStore)
  , scheduler_(aScheduler)
  , self_(std::move(aSelf))
  , onRecords_(std::move(aOnRecords))
{
}

void
HostRegistration::Repeat(void (HostRegistration::*aFunction)())
{
  scheduler_.After(kRetryDelay, [weak = weak_from_this(), aFunction] {
    if (const auto self = weak.lock()) {
      (self.get()->*aFunction)();
    }
  });
}

void
HostRegistration::Publish()
{
  store_.PublishHost(self_, [weak = weak_from_this()](std::error_code aError) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (aError) {
      LogEvent(LogLevel::Warn, "host_not_published", { { "error", aError.message() } });
      self->Repeat(&HostRegistration::Publish);
      return;
    }
    self->Read();
  });
}

void
HostRegistration::Read()
{
  store_.ReadHostTopic(
    [weak = weak_from_this()](std::error_code aError, HostTopicRecords aRecords) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      if (aError) {
        LogEvent(LogLevel::Warn, "hosts_not_read", { { "error", aError.message() } });
        self->Repeat(&HostRegistration::Read);
        return;
      }
      // Records of gone hosts stay in the store.
      std::erase_if(aRecords.hosts_, [&](const HostRecord& aHost) {
        return !self->readHosts_.insert(aHost.id_).second;
      });
      self->onRecords_(aRecords);
    });
}

} // namespace laburnumweir
